/** Looks up the tenants of one configuration by API key. */
import { createHash } from 'node:crypto';
import type { Tenant } from '../../../protocol/service/routing-configuration.js';

/** Identity of a caller by its `Authorization` header. */
export type CallerIdentity =
  | { readonly kind: 'tenant'; readonly tenant: Tenant }
  /** The header is missing. */
  | { readonly kind: 'anonymous' }
  /** The header has a key that belongs to no tenant, or no key. */
  | { readonly kind: 'unknown' };

const ANONYMOUS: CallerIdentity = { kind: 'anonymous' };
const UNKNOWN: CallerIdentity = { kind: 'unknown' };
/** RFC 6750: the scheme in any case, spaces, and the token. */
const BEARER = /^bearer +(\S+)$/i;
const FINGERPRINT_DIGITS = 8;

/** Returns the API key of an `Authorization` header; `undefined` if it has none. */
function keyOf(authorization: string): string | undefined {
  return BEARER.exec(authorization.trim())?.[1];
}

/** Prefix of the key's SHA-256 hash, for log lines, which must not contain keys; `none` without a header. */
export function fingerprintOf(authorization: string | undefined): string {
  if (authorization === undefined) return 'none';
  const credential = keyOf(authorization) ?? authorization;
  return createHash('sha256').update(credential).digest('hex').slice(0, FINGERPRINT_DIGITS);
}

/** A key that several tenants list belongs to the first of them. */
export class TenantDirectory {
  private readonly byKey = new Map<string, Tenant>();

  constructor(tenants: readonly Tenant[]) {
    for (const tenant of tenants)
      for (const key of tenant.apiKeys) if (!this.byKey.has(key)) this.byKey.set(key, tenant);
  }

  identify(authorization: string | undefined): CallerIdentity {
    if (authorization === undefined) return ANONYMOUS;
    const key = keyOf(authorization);
    const tenant = key === undefined ? undefined : this.byKey.get(key);
    return tenant ? { kind: 'tenant', tenant } : UNKNOWN;
  }
}
