/** Errors of the protocol layer: exchanges in a known wire format that failed. */
import type { TransportError } from '../transport/transport-error.js';

export type ProtocolFailure =
  /** The other side was unreachable or did not answer. */
  | 'unavailable'
  /** The other side's rate limit was exceeded; nothing was executed. */
  | 'rate-limited'
  /** A condition of the request did not hold; nothing was executed. */
  | 'conflict'
  /** The other side rejected the request; nothing was executed. */
  | 'refused'
  /** The answer violated the wire format. */
  | 'malformed'
  /** This side cancelled the exchange. */
  | 'cancelled';

/** A failed exchange. `effect` is `none` only if the other side certainly executed nothing. */
export class ProtocolError extends Error {
  override readonly name = 'ProtocolError';

  constructor(
    readonly failure: ProtocolFailure,
    readonly effect: 'none' | 'unknown',
    message: string,
    /** The other side's Retry-After, milliseconds. */
    readonly retryAfterMs?: number,
    /** The body of a rejection, if there was one. */
    readonly detail?: unknown,
  ) {
    super(message);
  }
}

export function fromTransport(error: TransportError, target: string): ProtocolError {
  const failure = error.failure === 'cancelled' ? 'cancelled' : 'unavailable';
  return new ProtocolError(failure, error.requestSent ? 'unknown' : 'none', `${target}: ${error.message}`);
}
