/**
 * Identifiers. A request ID is `{nodeId}~{ulid}`: it names the node that made the decisions and, through
 * the ULID, the time, so that `explain` knows whom to ask.
 */
import { createHash } from 'node:crypto';
import { decodeTime, ulid } from 'ulid';

const SEPARATOR = '~';

/** A new identifier that no other call returns, sortable by time. */
export function uniqueId(): string {
  return ulid();
}

/** A new request ID issued by `nodeId`. */
export function newRequestId(nodeId: string): string {
  return `${nodeId}${SEPARATOR}${ulid()}`;
}

/** What a request ID encodes. */
export interface RequestIdParts {
  readonly nodeId: string;
  /** Wall time of issue, milliseconds since the epoch. */
  readonly issuedAtMs: number;
}

/** The parts of a request ID, or `undefined` when the text is not one. */
export function parseRequestId(text: string): RequestIdParts | undefined {
  const at = text.lastIndexOf(SEPARATOR);
  if (at <= 0) return undefined;
  try {
    return { nodeId: text.slice(0, at), issuedAtMs: decodeTime(text.slice(at + 1)) };
  } catch {
    return undefined;
  }
}

/** SHA-256 of a text, as lower-case hex. */
export function sha256Hex(text: string | Buffer): string {
  return createHash('sha256').update(text).digest('hex');
}
