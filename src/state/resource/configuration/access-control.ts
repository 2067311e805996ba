/** Authentication by bearer tokens, whose hashes come from the settings and from AccessPolicy resources. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { Role, TokenGrant } from '../../../protocol/resource/resource.js';
import type { ConfigView } from './config-view.js';

export interface Principal {
  readonly identity: string;
  readonly roles: readonly Role[];
  /** Trainer that the principal may act for. */
  readonly trainer?: string;
}

interface Grant {
  readonly hash: Buffer;
  readonly principal: Principal;
}

function toGrant(grant: TokenGrant): Grant {
  const { identity, roles, trainer, tokenSha256 } = grant;
  return { hash: Buffer.from(tokenSha256, 'hex'), principal: { identity, roles, trainer } };
}

/** Compares a token with every grant in constant time. */
export class AccessControl {
  private grants: Grant[];

  constructor(
    private readonly settingsGrants: readonly TokenGrant[],
    view: ConfigView,
  ) {
    this.grants = this.collect(view);
    view.subscribe((events) => {
      if (events.some((event) => event.kind === 'AccessPolicy')) this.grants = this.collect(view);
    });
  }

  /** Returns the principal of an `Authorization` header; `undefined` if the token is missing or unknown. */
  authenticate(header: string | undefined): Principal | undefined {
    const token = header?.startsWith('Bearer ') ? header.slice('Bearer '.length) : undefined;
    if (token === undefined) return undefined;
    const hash = createHash('sha256').update(token).digest();
    let found: Principal | undefined;
    for (const grant of this.grants) if (timingSafeEqual(grant.hash, hash)) found = grant.principal;
    return found;
  }

  private collect(view: ConfigView): Grant[] {
    const declared = view.list('AccessPolicy').flatMap((policy) => policy.spec.tokens);
    return [...this.settingsGrants, ...declared].map(toGrant);
  }
}
