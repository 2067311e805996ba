/**
 * Applies the replicas' announcements from the store. An invalid record removes the replica until its next
 * valid one. A record with an earlier start time than the known incarnation is either a delayed write or a
 * replica whose clock was set back before a restart; the replica gets no requests until the record has stayed
 * unchanged for a few heartbeats, in which a running incarnation would have overwritten it.
 */
import { type Clock, SYSTEM_CLOCK } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { ChangedRecord, RecordStore } from '../../../protocol/record-store.js';
import type { Replica } from '../../../protocol/service/replica.js';
import type { IncarnationOrder, ReplicaDirectory } from '../../../state/service/replicas/index.js';
import { applyEach, type FeedHandler, readPartition } from '../../feeds/index.js';
import {
  ALLOW_STALE,
  ANNOUNCEMENT_PARTITION,
  type AnnouncementFormat,
  type AnnouncementRecords,
} from './announcements.js';

/** Heartbeats without a change that confirm a record: one may be lost and one in transit. */
const CONFIRMATION_HEARTBEATS = 3;

export interface ReplicaAnnouncementServices {
  readonly store: RecordStore;
  readonly format: AnnouncementFormat;
  readonly directory: ReplicaDirectory;
  /** Interval at which replicas rewrite their records, milliseconds. */
  readonly heartbeatMs: () => number;
  /** Whether changes of the table arrive within their bound. */
  readonly isFeedCurrent: () => boolean;
  readonly metrics: Pick<ServiceMetrics, 'unreadableReplicas'>;
  readonly logger: DecisionLogger;
}

export class ReplicaAnnouncements implements FeedHandler<AnnouncementRecords> {
  /** Incarnations with an earlier start time than the known ones, by replica id. */
  private readonly unconfirmed = new Map<string, Replica>();
  /** Versions of the rejected records, by replica id: each is reported once, however often it is read. */
  private readonly rejected = new Map<string, number>();

  constructor(
    private readonly services: ReplicaAnnouncementServices,
    private readonly clock: Clock = SYSTEM_CLOCK,
  ) {}

  get table(): string {
    return this.services.format.replicaTable;
  }

  readAll() {
    return readPartition(this.services.store, this.table, ANNOUNCEMENT_PARTITION, ALLOW_STALE);
  }

  knownAddresses() {
    return this.services.directory.ids.map((key) => ({
      table: this.table,
      partition: ANNOUNCEMENT_PARTITION,
      key,
    }));
  }

  replaceAll(content: AnnouncementRecords): void {
    const present = new Set(content.map((record) => record.key));
    for (const id of [...this.services.directory.ids, ...this.rejected.keys()])
      if (!present.has(id)) this.remove(id, 'announcement removed', 0);
    applyEach(
      content,
      ({ key }) => key,
      (record) => this.apply(record),
    );
  }

  apply({ key, value, version }: ChangedRecord): void {
    if (value === undefined) {
      this.remove(key, 'announcement removed', version);
      return;
    }
    const parsed = this.services.format.parseReplica(key, value);
    if (parsed.isOk()) this.applyReplica(parsed.value, version);
    else this.rejectRecord(key, parsed.error, version);
  }

  private applyReplica(replica: Replica, version: number): void {
    const { directory } = this.services;
    const previous = directory.get(replica.id)?.replica;
    const order = directory.set(replica);
    if (order === 'start-missing') this.rejectRecord(replica.id, 'born: is required', version);
    else if (order === 'earlier') this.awaitConfirmation(replica, version);
    else this.confirmIncarnation(replica, previous, order, version);
  }

  private confirmIncarnation(
    replica: Replica,
    previous: Replica | undefined,
    order: IncarnationOrder | 'first',
    version: number,
  ): void {
    this.unconfirmed.delete(replica.id);
    this.rejected.delete(replica.id);
    const name = replica.id;
    if (order === 'first') this.report(name, `joined ${replica.service} at ${replica.address}`, version);
    else if (order === 'next') this.report(name, `restarted, started at ${replica.startedAtMs}`, version);
    else if (previous?.isDraining !== replica.isDraining)
      this.report(name, replica.isDraining ? 'draining' : 'no longer draining', version);
  }

  private awaitConfirmation(replica: Replica, version: number): void {
    this.unconfirmed.set(replica.id, replica);
    this.rejected.delete(replica.id);
    this.services.directory.markUnconfirmed(replica.id);
    this.report(
      replica.id,
      `possibly a delayed announcement of an earlier incarnation, started at ${replica.startedAtMs}`,
      version,
    );
    void this.replaceIfUnchanged(replica, version);
  }

  private async replaceIfUnchanged(replica: Replica, version: number): Promise<void> {
    const { heartbeatMs, isFeedCurrent, directory } = this.services;
    do await this.clock.sleep(CONFIRMATION_HEARTBEATS * heartbeatMs());
    while (this.unconfirmed.get(replica.id) === replica && !isFeedCurrent());
    if (this.unconfirmed.get(replica.id) !== replica) return;
    this.unconfirmed.delete(replica.id);
    directory.replace(replica);
    this.report(
      replica.id,
      `restarted with an earlier time of day, started at ${replica.startedAtMs}`,
      version,
    );
  }

  private rejectRecord(id: string, problem: string, version: number): void {
    if (this.rejected.get(id) === version) return;
    this.services.metrics.unreadableReplicas.inc({});
    this.report(id, `invalid announcement: ${problem}`, version);
    this.remove(id, 'gone with its record', version);
    this.rejected.set(id, version);
  }

  private remove(id: string, change: string, version: number): void {
    this.unconfirmed.delete(id);
    this.rejected.delete(id);
    if (!this.services.directory.get(id)) return;
    this.services.directory.remove(id);
    this.report(id, change, version);
  }

  private report(name: string, change: string, version: number): void {
    this.services.logger.record({ event: 'belief-changed', subject: 'replica', name, change, version });
  }
}
