/** Tenants by their API keys, as one configuration has them. */
import { createHash } from 'node:crypto';
import type { Tenant } from '../../../protocol/service/routing-configuration.js';

/** Who a caller is, by its `Authorization` header. */
export type CallerIdentity =
  | { readonly kind: 'tenant'; readonly tenant: Tenant }
  /** Has no header. */
  | { readonly kind: 'anonymous' }
  /** Has a key of no tenant, or a header that holds no key. */
  | { readonly kind: 'unknown' };

const ANONYMOUS: CallerIdentity = { kind: 'anonymous' };
const UNKNOWN: CallerIdentity = { kind: 'unknown' };
/** RFC 6750: the scheme in any case, blanks, and the token. */
const BEARER = /^bearer +(\S+)$/i;
/** Hexadecimal digits of a key's SHA-256 hash that identify it in logs. Chosen, not measured. */
const FINGERPRINT_DIGITS = 8;

/** The key in an `Authorization` header; `undefined` when it holds none. */
function keyOf(authorization: string): string | undefined {
  return BEARER.exec(authorization.trim())?.[1];
}

/** Identifies a caller's header in log lines, where no key may appear; `none` without a header. */
export function fingerprintOf(authorization: string | undefined): string {
  if (authorization === undefined) return 'none';
  const credential = keyOf(authorization) ?? authorization;
  return createHash('sha256').update(credential).digest('hex').slice(0, FINGERPRINT_DIGITS);
}

/** The tenants of one configuration. A key of several tenants belongs to the first. */
export class TenantDirectory {
  private readonly byKey = new Map<string, Tenant>();

  constructor(tenants: readonly Tenant[]) {
    for (const tenant of tenants)
      for (const key of tenant.apiKeys) if (!this.byKey.has(key)) this.byKey.set(key, tenant);
  }

  /** The caller that has this `Authorization` header. */
  identify(authorization: string | undefined): CallerIdentity {
    if (authorization === undefined) return ANONYMOUS;
    const key = keyOf(authorization);
    const tenant = key === undefined ? undefined : this.byKey.get(key);
    return tenant ? { kind: 'tenant', tenant } : UNKNOWN;
  }
}
