/**
 * Identifiers. A request ID is `{nodeId}~{ulid}`: it tells `explain` which node made the decisions, and when.
 */
import { createHash, randomFillSync } from 'node:crypto';
import { decodeTime, ulid } from 'ulid';

const SEPARATOR = '~';

/** Random bytes are read in pools, since a system call per character would dominate the cost of an ID. */
const RANDOM_POOL_BYTES = 4_096;
const BYTE_VALUES = 256;
const randomPool = Buffer.alloc(RANDOM_POOL_BYTES);
let randomPoolUsed = RANDOM_POOL_BYTES;

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

/** A new unique identifier, sortable by time. */
export function uniqueId(): string {
  return newUlid();
}

export function newRequestId(nodeId: string): string {
  return `${nodeId}${SEPARATOR}${newUlid()}`;
}

export interface RequestIdParts {
  readonly nodeId: string;
  /** Wall time, milliseconds since the epoch. */
  readonly issuedAtMs: number;
}

/** The parts of a request ID; `undefined` for any other text, since IDs come from callers. */
export function parseRequestId(text: string): RequestIdParts | undefined {
  const separatorIndex = text.lastIndexOf(SEPARATOR);
  if (separatorIndex <= 0) return undefined;
  try {
    return { nodeId: text.slice(0, separatorIndex), issuedAtMs: decodeTime(text.slice(separatorIndex + 1)) };
  } catch {
    // `decodeTime` throws if the text is not a ULID.
    return undefined;
  }
}

/** SHA-256 of a text, as lower-case hex. */
export function sha256Hex(text: string | Buffer): string {
  return createHash('sha256').update(text).digest('hex');
}
