/** Failures of the state layer: what became of a change or look-up of shared state. */
/** How an operation on shared state failed. */
export type StateFailure =
  /** The platform could not be reached, was too slow, or answered with an error. */
  | 'unavailable'
  /** The node's share of the platform's rate is used up. */
  | 'rate-limited'
  /** Another writer was first; nothing was changed. */
  | 'conflict'
  /** The lease under which the change was to be made is no longer held; nothing was changed. */
  | 'lease-lost'
  /** The thing does not exist. */
  | 'not-found'
  /** The request contradicts what is stored; nothing was changed. */
  | 'invalid';

/** Versions of a race. */
export interface VersionPair {
  readonly expected: number;
  readonly current: number;
}

/** A failed operation. `effect` is `none` only when it is certain that nothing was changed. */
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
