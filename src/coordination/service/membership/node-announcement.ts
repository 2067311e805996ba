/** The record by which a node announces its addresses to its peers. */

/** Table of the announcements; the key is the node's name. */
export const NODE_TABLE = 'serving-nodes';
/** Three renewal intervals (`ANNOUNCE_INTERVAL_MS`) and a margin. */
const EXPIRY_MS = 200_000;

/** A stored record. Nodes of earlier builds leave out the optional fields. */
export interface NodeAnnouncement {
  /** Address for callers, `IP:PORT`. */
  readonly address: string;
  /** Address for peers, `IP:PORT`. */
  readonly peerAddress?: string;
  readonly zone?: string;
  /** Processor cores. */
  readonly capacity?: number;
  /** Offset of the node's time of day from the store's clock, milliseconds. */
  readonly timeOffsetMs?: number;
  /** Store clock, milliseconds. */
  readonly announcedAtMs: number;
}

/** Parses without validation: only nodes write the table. */
export function parseAnnouncement(value: Buffer): NodeAnnouncement {
  return JSON.parse(value.toString('utf8')) as NodeAnnouncement;
}

/** `nowMs` is the time on the store's clock. */
export function isExpired({ announcedAtMs }: NodeAnnouncement, nowMs: number): boolean {
  return nowMs - announcedAtMs > EXPIRY_MS;
}
