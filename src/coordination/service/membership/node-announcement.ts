/** The stored announcement of a node, for its peers. */

/** Table of the announcements; their key is the node's name. */
export const NODE_TABLE = 'serving-nodes';
/** Age at which an announcement expires, milliseconds: above three intervals of renewal (`ANNOUNCE_MS`). */
const EXPIRY_MS = 200_000;

/** Stored; the names of fields stay. Nodes of earlier builds leave out optional fields. */
export interface NodeAnnouncement {
  /** Listener for callers, `IP:PORT`. */
  readonly address: string;
  /** Listener for peers, `IP:PORT`. */
  readonly peerAddress?: string;
  readonly zone?: string;
  /** Processor share, in cores. */
  readonly capacity?: number;
  /** What the node's time of day adds to the store's clock, milliseconds. */
  readonly timeOffsetMs?: number;
  /** On the store's clock, milliseconds. */
  readonly announcedAtMs: number;
}

/** The announcement in a record; nodes alone write the table. */
export function parseAnnouncement(value: Buffer): NodeAnnouncement {
  return JSON.parse(value.toString('utf8')) as NodeAnnouncement;
}

/** Whether an announcement has expired at `nowMs` on the store's clock. */
export function isExpired({ announcedAtMs }: NodeAnnouncement, nowMs: number): boolean {
  return nowMs - announcedAtMs > EXPIRY_MS;
}
