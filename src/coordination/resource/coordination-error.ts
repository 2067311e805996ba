/** Errors of the coordination layer as reported to callers: code, whether the work was executed, and Retry-After. */
import type { Result } from 'neverthrow';
import type { ProtocolError } from '../../protocol/protocol-error.js';
import type { Executed, ProblemCode } from '../../protocol/resource/problem.js';
import type { StateError, VersionPair } from '../../state/state-error.js';

/** A rejected or failed request. `executed` is `no` only when the request certainly did not run. */
export class CoordinationError extends Error {
  override readonly name = 'CoordinationError';

  constructor(
    readonly code: ProblemCode,
    readonly executed: Executed,
    message: string,
    readonly retryAfterMs?: number,
    readonly versions?: VersionPair,
  ) {
    super(message);
  }
}

export type CoordinationResult<T> = Promise<Result<T, CoordinationError>>;

/** Retry-After of temporary failures that do not specify one. */
const DEFAULT_RETRY_AFTER_MS = 1_000;

const CODE_OF_STATE_FAILURE: Readonly<Record<StateError['failure'], ProblemCode>> = {
  unavailable: 'platform-unavailable',
  'rate-limited': 'overloaded',
  conflict: 'conflict',
  'lease-lost': 'conflict',
  'not-found': 'not-found',
  invalid: 'invalid-request',
};

/** Converts an error of the state layer. */
export function fromState(error: StateError): CoordinationError {
  const code = CODE_OF_STATE_FAILURE[error.failure];
  const executed = error.effect === 'none' ? 'no' : 'unknown';
  const isTemporary = error.failure === 'unavailable' || error.failure === 'rate-limited';
  const wait = error.retryAfterMs ?? (isTemporary ? DEFAULT_RETRY_AFTER_MS : undefined);
  return new CoordinationError(code, executed, error.message, wait, error.versions);
}

/** Converts an error of a request to a back end. */
export function fromBackend(error: ProtocolError): CoordinationError {
  if (error.effect === 'none') {
    return new CoordinationError(
      'backend-refused',
      'no',
      error.message,
      error.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
    );
  }
  return new CoordinationError('outcome-unknown', 'unknown', error.message, DEFAULT_RETRY_AFTER_MS);
}

/** Selects which of two failures to report: a later `no` does not override an earlier `unknown` or `yes`. */
export function worseOf(earlier: CoordinationError | undefined, later: CoordinationError): CoordinationError {
  if (earlier === undefined || earlier.executed === 'no') return later;
  return later.executed === 'no' ? earlier : later;
}
