/** Identity of a request across retries, whatever its id: tenant, method, host, path and body. */
import { createHash } from 'node:crypto';

/** The parts of a request that a caller repeats unchanged. */
export interface IdentifiedRequest {
  readonly method: string;
  readonly path: string;
  readonly host: string;
  /** Tenant on whose behalf it runs, if any. */
  readonly tenant?: string;
  readonly body: Buffer;
}

const DIGEST_LENGTH = 32;
const SEPARATOR = '\0';
/** Digests by request, so that a body is hashed once at most. */
const digests = new WeakMap<IdentifiedRequest, string>();

/** Digest of a request, 32 hexadecimal digits. Computed at the first use: most requests never need one. */
export function digestOf(request: IdentifiedRequest): string {
  const before = digests.get(request);
  if (before !== undefined) return before;
  const { method, host, tenant, path, body } = request;
  const hash = createHash('sha256').update([method, host, tenant ?? '', path, ''].join(SEPARATOR));
  const digest = hash.update(body).digest('hex').slice(0, DIGEST_LENGTH);
  digests.set(request, digest);
  return digest;
}
