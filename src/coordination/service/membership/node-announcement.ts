/** What a node announces of itself in the store, for other nodes. */

/** Table of the announcements; their key is the node's name. */
export const SERVING_NODES = 'serving-nodes';
/** Time after which an announcement that was not renewed is no longer believed, milliseconds. */
const EXPIRY_MS = 200_000;

/** What an announcement says. Nodes of the build before leave out what it did not know. */
export interface Announcement {
  /** Where callers are served, `IP:PORT`. */
  readonly address: string;
  /** Where other nodes are answered, `IP:PORT`. */
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
export function parseAnnouncement(value: Buffer): Announcement {
  return JSON.parse(value.toString('utf8')) as Announcement;
}

/** Whether an announcement is too old to be believed at `nowMs` on the store's clock. */
export function isExpired({ announcedAtMs }: Announcement, nowMs: number): boolean {
  return nowMs - announcedAtMs > EXPIRY_MS;
}
