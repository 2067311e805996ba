/**
 * Directory of all running nodes, built from their announcements in the store. Each node follows the table,
 * so joins and departures are visible within a second. A crashed node stays listed until its announcement
 * expires; calls to it fail until then. A record that is no announcement counts as absent.
 */
import type { ChangedRecord, RecordStore, StoredRecord } from '../../../protocol/record-store.js';
import type { FleetMember } from '../../../state/service/replicas/index.js';
import { ignoreUnreadable, type ReportUnreadable } from '../../../state/service/store/index.js';
import { type FeedHandler, readPartition } from '../../feeds/index.js';
import { isExpired, NODE_TABLE, type NodeAnnouncement, readAnnouncement } from './node-announcement.js';

const ALLOW_STALE = true;

export class FleetDirectory implements FeedHandler<readonly StoredRecord[]> {
  readonly table = NODE_TABLE;
  private readonly announcements = new Map<string, NodeAnnouncement>();
  private readonly listeners = new Set<() => void>();

  constructor(
    private readonly store: RecordStore,
    private readonly reportUnreadable: ReportUnreadable = ignoreUnreadable,
  ) {}

  /** Registers a listener that is called after each change. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Nodes with a peer address, including this one once it has announced itself. */
  get members(): FleetMember[] {
    const nowMs = this.store.nowMs();
    return [...this.announcements].flatMap(([name, announcement]) => {
      const { peerAddress, zone, capacity } = announcement;
      if (peerAddress === undefined || isExpired(announcement, nowMs)) return [];
      return { name, peerAddress, zone: zone ?? '', capacity: capacity ?? 1 };
    });
  }

  readAll() {
    return readPartition(this.store, this.table, '', ALLOW_STALE);
  }

  replaceAll(content: readonly StoredRecord[]): void {
    const present = new Set(content.map(({ key }) => key));
    for (const name of [...this.announcements.keys()])
      if (!present.has(name)) this.announcements.delete(name);
    for (const record of content) this.update(record);
    this.notify();
  }

  apply(change: ChangedRecord): void {
    this.update(change);
    this.notify();
  }

  private update({ value, ...address }: ChangedRecord): void {
    const announcement = value && readAnnouncement({ ...address, value }, this.reportUnreadable);
    if (announcement) this.announcements.set(address.key, announcement);
    else this.announcements.delete(address.key);
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }
}
