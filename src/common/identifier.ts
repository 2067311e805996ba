/**
 * Identifiers. A request ID is `{nodeId}~{ulid}`: it names the node that made the decisions and, through
 * the ULID, the time, so that `explain` knows whom to ask.
 */
import { createHash, randomFillSync } from 'node:crypto';
import { decodeTime, ulid } from 'ulid';

const SEPARATOR = '~';

/** One system call for so many random bytes: 256 identifiers of 16 characters. */
const RANDOM_POOL_BYTES = 4_096;
const BYTE_VALUES = 256;
const randomPool = Buffer.alloc(RANDOM_POOL_BYTES);
let randomPoolUsed = RANDOM_POOL_BYTES;

/** A random fraction from a pool: a system call for each character costs more than the rest of an ID. */
function pooledFraction(): number {
  if (randomPoolUsed >= RANDOM_POOL_BYTES) {
    randomFillSync(randomPool);
    randomPoolUsed = 0;
  }
  const byte = randomPool[randomPoolUsed] as number;
  randomPoolUsed += 1;
  return byte / BYTE_VALUES;
}

const newUlid = () => ulid(undefined, pooledFraction);

/** A new identifier that no other call returns, sortable by time. */
export function uniqueId(): string {
  return newUlid();
}

/** A new request ID issued by `nodeId`. */
export function newRequestId(nodeId: string): string {
  return `${nodeId}${SEPARATOR}${newUlid()}`;
}

/** What a request ID encodes. */
export interface RequestIdParts {
  readonly nodeId: string;
  /** Wall time of issue, milliseconds since the epoch. */
  readonly issuedAtMs: number;
}

/** The parts of a request ID, or `undefined` when the text, which comes from a caller, is not one. */
export function parseRequestId(text: string): RequestIdParts | undefined {
  const separatorIndex = text.lastIndexOf(SEPARATOR);
  if (separatorIndex <= 0) return undefined;
  try {
    return { nodeId: text.slice(0, separatorIndex), issuedAtMs: decodeTime(text.slice(separatorIndex + 1)) };
  } catch {
    // `decodeTime` throws on any text that is no ULID.
    return undefined;
  }
}

/** SHA-256 of a text, as lower-case hex. */
export function sha256Hex(text: string | Buffer): string {
  return createHash('sha256').update(text).digest('hex');
}
