/** Errors of the state layer. */

export type StateFailure =
  /** The store could not be reached, timed out, or responded with an error. */
  | 'unavailable'
  /** The node's request rate limit for the store is exceeded. */
  | 'rate-limited'
  /** A concurrent write came first; nothing was changed. */
  | 'conflict'
  /** The lease required for the change is no longer held; nothing was changed. */
  | 'lease-lost'
  | 'not-found'
  /** The request contradicts what is stored; nothing was changed. */
  | 'invalid';

/** Versions of a conflict. */
export interface VersionPair {
  readonly expected: number;
  readonly current: number;
}

/** A failed operation. `effect` is `none` only if it is certain that nothing was changed. */
export class StateError extends Error {
  override readonly name = 'StateError';

  constructor(
    readonly failure: StateFailure,
    readonly effect: 'none' | 'unknown',
    message: string,
    readonly retryAfterMs?: number,
    readonly versions?: VersionPair,
  ) {
    super(message);
  }
}
