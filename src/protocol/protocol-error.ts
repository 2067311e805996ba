/** Failures of the protocol layer: what an exchange in a known wire format came to. */
import type { TransportError } from '../transport/transport-error.js';

/** How an exchange failed. */
export type ProtocolFailure =
  /** The other side could not be reached or did not answer. */
  | 'unavailable'
  /** The other side said that it has reached its rate limit; nothing was done. */
  | 'rate-limited'
  /** A condition of the request did not hold; nothing was done. */
  | 'conflict'
  /** The other side refused the request; nothing was done. */
  | 'refused'
  /** The answer did not follow the wire format. */
  | 'malformed'
  /** This side gave the exchange up. */
  | 'cancelled';

/**
 * A failed exchange. `effect` says whether the other side may have carried the request out: `none` only
 * when that is certain.
 */
export class ProtocolError extends Error {
  override readonly name = 'ProtocolError';

  constructor(
    readonly failure: ProtocolFailure,
    readonly effect: 'none' | 'unknown',
    message: string,
    /** When the other side asked to be tried again, milliseconds. */
    readonly retryAfterMs?: number,
    /** The body of a refusal, when there was one. */
    readonly detail?: unknown,
  ) {
    super(message);
  }
}

/** Turns a transport failure into one of this layer. */
export function fromTransport(error: TransportError, target: string): ProtocolError {
  const failure = error.failure === 'cancelled' ? 'cancelled' : 'unavailable';
  return new ProtocolError(failure, error.requestSent ? 'unknown' : 'none', `${target}: ${error.message}`);
}
