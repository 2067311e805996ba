/** Failures of the transport layer, and whether the request may have been received. */

export type TransportFailure =
  | 'connect-failed'
  | 'timed-out'
  | 'connection-lost'
  | 'cancelled'
  | 'body-too-large'
  /** Too little memory for the bytes: others were kept in their place. */
  | 'no-memory'
  /** The server sent more than a response may have, or bytes that no request was waiting for. */
  | 'response-too-large'
  /** The response is for another request. */
  | 'wrong-answer';

/** An HTTP exchange that failed. `requestSent` is false only if it is certain that no byte was sent. */
export class TransportError extends Error {
  override readonly name = 'TransportError';

  constructor(
    readonly failure: TransportFailure,
    readonly requestSent: boolean,
    message: string,
  ) {
    super(message);
  }
}

/** Too little memory for bytes that were or would be held. */
export function outOfMemory(subject: string): TransportError {
  return new TransportError('no-memory', true, `too little memory for ${subject}`);
}

/** Codes raised before a connection exists, so that no byte was sent. */
const CONNECT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
  'ENOTFOUND',
]);
const TIMEOUT_CODES = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

function codeOf(cause: unknown): string {
  return (cause as { code?: string } | undefined)?.code ?? '';
}

/** Classifies an error thrown by undici or by a stream. */
export function toTransportError(cause: unknown): TransportError {
  if (cause instanceof TransportError) return cause;
  const message = cause instanceof Error ? cause.message : String(cause);
  const code = codeOf(cause);
  const name = (cause as Error | undefined)?.name;
  if (name === 'TimeoutError') return new TransportError('timed-out', true, 'deadline passed');
  if (name === 'AbortError' || code === 'UND_ERR_ABORTED')
    return new TransportError('cancelled', true, message);
  if (CONNECT_CODES.has(code)) return new TransportError('connect-failed', false, message);
  if (TIMEOUT_CODES.has(code)) return new TransportError('timed-out', true, message);
  return new TransportError('connection-lost', true, message);
}
