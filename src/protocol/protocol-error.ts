/** Failures of the protocol layer: exchanges in a known wire format that did not succeed. */
import type { TransportError } from '../transport/transport-error.js';

/** How an exchange failed. */
export type ProtocolFailure =
  /** The other side could not be reached or did not answer. */
  | 'unavailable'
  /** The other side's rate limit is reached; nothing was done. */
  | 'rate-limited'
  /** A condition of the request did not hold; nothing was done. */
  | 'conflict'
  /** The other side refused the request; nothing was done. */
  | 'refused'
  /** The answer did not follow the wire format. */
  | 'malformed'
  /** This side cancelled the exchange. */
  | 'cancelled';

/** A failed exchange. `effect` is `none` only when it is certain that the other side did nothing. */
export class ProtocolError extends Error {
  override readonly name = 'ProtocolError';

  constructor(
    readonly failure: ProtocolFailure,
    readonly effect: 'none' | 'unknown',
    message: string,
    /** Retry-After of the other side, milliseconds. */
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
