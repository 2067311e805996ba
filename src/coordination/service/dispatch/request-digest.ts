/**
 * Digest of a request that stays the same across retries: covers tenant, method, host, path and body, not the
 * id.
 */
import { createHash } from 'node:crypto';

/** Parts of a request that stay the same in a retry. */
export interface IdentifiedRequest {
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly tenant?: string;
  readonly body: Buffer;
  /** An item of a job or its scoring call, which is never quarantined. Default false. */
  readonly isJobWork?: boolean;
}

const DIGEST_LENGTH = 32;
const SEPARATOR = '\0';
/** Cached digests, so that each body is hashed at most once. */
const digests = new WeakMap<IdentifiedRequest, string>();

/** Digest of a request, 32 hexadecimal digits. Computed on first use, since most requests never need it. */
export function digestOf(request: IdentifiedRequest): string {
  const cached = digests.get(request);
  if (cached !== undefined) return cached;
  const { method, host, tenant, path, body } = request;
  const hash = createHash('sha256').update([method, host, tenant ?? '', path, ''].join(SEPARATOR));
  const digest = hash.update(body).digest('hex').slice(0, DIGEST_LENGTH);
  digests.set(request, digest);
  return digest;
}
