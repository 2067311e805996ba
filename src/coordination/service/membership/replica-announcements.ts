/**
 * What replicas announce of themselves through the store. A record that is no announcement names no replica: its replica, if
 * one was known under the id, is taken as gone until its own next record, since the store says no more that it is there.
 *
 * A record may seem to be of a life before the known one: a write that was late, or a replica whose time of day was set back
 * before it started again. Until that is settled neither life gets requests. A life that lives writes its record again within
 * a beat; so if it was a late write, the known life is back by then, and if the record stays, its life is the one that lives.
 */
import { type Clock, SYSTEM_CLOCK } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { ChangedRecord, RecordStore } from '../../../protocol/record-store.js';
import type { Replica } from '../../../protocol/service/replica.js';
import type { IncarnationOrder, ReplicaDirectory } from '../../../state/service/replicas/index.js';
import { type FeedHandler, readPartition } from '../../feeds/index.js';
import { ALLOWS_OLD, ANNOUNCED_PARTITION, type Announced, type AnnouncementFormat } from './announcements.js';

/** Beats of a replica after which a record stands for the life that lives: one may be lost, and one is under way. */
const SETTLED_BEATS = 3;

/** What the announcements of replicas are taken with. */
export interface ReplicaAnnouncementServices {
  readonly store: RecordStore;
  readonly format: AnnouncementFormat;
  readonly directory: ReplicaDirectory;
  /** How often a replica writes its record, milliseconds. */
  readonly heartbeatMs: () => number;
  /** Whether this node would have heard of a change of these records by now. */
  readonly isFollowed: () => boolean;
  readonly metrics: Pick<ServiceMetrics, 'unreadableReplicas'>;
  readonly logger: DecisionLogger;
}

/** Takes the replicas. */
export class ReplicaAnnouncements implements FeedHandler<Announced> {
  /** Lives whose records seem to be of before the known ones, by id. */
  private readonly unsettled = new Map<string, Replica>();

  constructor(
    private readonly services: ReplicaAnnouncementServices,
    private readonly clock: Clock = SYSTEM_CLOCK,
  ) {}

  get table(): string {
    return this.services.format.replicaTable;
  }

  readAll() {
    return readPartition(this.services.store, this.table, ANNOUNCED_PARTITION, ALLOWS_OLD);
  }

  knownAddresses() {
    return this.services.directory.ids.map((key) => ({
      table: this.table,
      partition: ANNOUNCED_PARTITION,
      key,
    }));
  }

  replaceAll(content: Announced): void {
    const present = new Set(content.map((record) => record.key));
    for (const id of this.services.directory.ids) if (!present.has(id)) this.remove(id, 'gone', 0);
    for (const record of content) this.apply(record);
  }

  apply({ key, value, version }: ChangedRecord): void {
    if (value === undefined) {
      this.remove(key, 'gone', version);
      return;
    }
    const parsed = this.services.format.parseReplica(key, value);
    if (parsed.isOk()) this.take(parsed.value, version);
    else this.refuse(key, parsed.error, version);
  }

  private take(replica: Replica, version: number): void {
    const { directory } = this.services;
    const before = directory.get(replica.id)?.replica;
    const order = directory.set(replica);
    if (order === 'start-missing') this.refuse(replica.id, 'born: is required', version);
    else if (order === 'earlier') this.awaitConfirmation(replica, version);
    else this.settled(replica, before, order, version);
  }

  private settled(
    replica: Replica,
    before: Replica | undefined,
    order: IncarnationOrder | 'first',
    version: number,
  ): void {
    this.unsettled.delete(replica.id);
    const name = replica.id;
    if (order === 'first') this.report(name, `joined ${replica.service} at ${replica.address}`, version);
    else if (order === 'next') this.report(name, `started again, born ${replica.startedAtMs}`, version);
    else if (before?.isDraining !== replica.isDraining)
      this.report(name, replica.isDraining ? 'draining' : 'not draining any more', version);
  }

  private awaitConfirmation(replica: Replica, version: number): void {
    this.unsettled.set(replica.id, replica);
    this.services.directory.markUnconfirmed(replica.id);
    this.report(replica.id, `may be a late word of before, born ${replica.startedAtMs}`, version);
    void this.settle(replica, version);
  }

  private async settle(replica: Replica, version: number): Promise<void> {
    const { heartbeatMs, isFollowed, directory } = this.services;
    do await this.clock.sleep(SETTLED_BEATS * heartbeatMs());
    while (this.unsettled.get(replica.id) === replica && !isFollowed());
    if (this.unsettled.get(replica.id) !== replica) return;
    this.unsettled.delete(replica.id);
    directory.replace(replica);
    this.report(
      replica.id,
      `started again with an earlier time of day, born ${replica.startedAtMs}`,
      version,
    );
  }

  private refuse(id: string, problem: string, version: number): void {
    this.services.metrics.unreadableReplicas.inc({});
    this.report(id, `names no replica: ${problem}`, version);
    this.remove(id, 'gone with its record', version);
  }

  private remove(id: string, change: string, version: number): void {
    this.unsettled.delete(id);
    if (!this.services.directory.get(id)) return;
    this.services.directory.remove(id);
    this.report(id, change, version);
  }

  private report(name: string, change: string, version: number): void {
    this.services.logger.record({ event: 'belief-changed', subject: 'replica', name, change, version });
  }
}
