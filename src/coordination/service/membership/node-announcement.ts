/** The record by which a node announces its addresses to its peers. */
import { err, ok, type Result } from 'neverthrow';
import Type, { type Static } from 'typebox';
import { isHostAndPort } from '../../../protocol/network-address.js';
import type { StoredRecord } from '../../../protocol/record-store.js';
import type { ReportUnreadable } from '../../../state/service/store/index.js';
import { RecordFormat } from '../../../state/store/index.js';

/** Table of the announcements; the key is the node's name. */
export const NODE_TABLE = 'serving-nodes';
/** Three renewal intervals (`ANNOUNCE_INTERVAL_MS`) and a margin. */
const EXPIRY_MS = 200_000;
const MAX_TEXT_LENGTH = 300;
/** Processor cores. */
const MAX_CAPACITY = 10_000;

const TextSchema = Type.String({ minLength: 1, maxLength: MAX_TEXT_LENGTH });

/** A stored record. Nodes of earlier builds leave out the optional fields. */
const AnnouncementSchema = Type.Object({
  /** Address for callers, `HOST:PORT`. */
  address: TextSchema,
  /** Address for peers, `HOST:PORT`. */
  peerAddress: Type.Optional(TextSchema),
  zone: Type.Optional(Type.String({ maxLength: MAX_TEXT_LENGTH })),
  /** Processor cores. */
  capacity: Type.Optional(Type.Number({ exclusiveMinimum: 0, maximum: MAX_CAPACITY })),
  /** Offset of the node's time of day from the store's clock, milliseconds. */
  timeOffsetMs: Type.Optional(Type.Number()),
  /** Store clock, milliseconds. */
  announcedAtMs: Type.Number(),
});
export type NodeAnnouncement = Readonly<Static<typeof AnnouncementSchema>>;

const announcementFormat = new RecordFormat(AnnouncementSchema);

/** The error says what is wrong with the record. */
export function parseAnnouncement(value: Buffer): Result<NodeAnnouncement, string> {
  return announcementFormat.parse(value).andThen((announcement) => {
    const { address, peerAddress = address } = announcement;
    return isHostAndPort(address) && isHostAndPort(peerAddress)
      ? ok(announcement)
      : err('address: must be HOST:PORT');
  });
}

/** The announcement in a record; `undefined` after a report if it is unreadable. */
export function readAnnouncement(
  record: StoredRecord,
  reportUnreadable: ReportUnreadable,
): NodeAnnouncement | undefined {
  const parsed = parseAnnouncement(record.value);
  if (parsed.isOk()) return parsed.value;
  reportUnreadable(record, parsed.error);
  return undefined;
}

/**
 * `nowMs` is the time on the store's clock. A time that far ahead of it is no node's either.
 */
export function isExpired({ announcedAtMs }: NodeAnnouncement, nowMs: number): boolean {
  return Math.abs(nowMs - announcedAtMs) > EXPIRY_MS;
}
