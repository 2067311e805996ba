/**
 * What operators, trainers and replicas announce through the store: the configuration, the newest weight version of
 * each model, and the replicas. An adapter reads the records; this module keeps what they say.
 */
import type { DecisionLogger } from '../../common/decision-logger.js';
import type { ServiceMetrics } from '../../common/service-metrics.js';
import type { ChangedRecord, RecordAddress, RecordStore, StoredRecord } from '../../protocol/record-store.js';
import type { Replica } from '../../protocol/replica.js';
import type { RoutingConfiguration } from '../../protocol/routing-configuration.js';
import type { RoutingTable } from '../../state/configuration/index.js';
import type { ReplicaDirectory, WeightVersions } from '../../state/replicas/index.js';
import { type FeedHandler, readPartition } from '../configuration/index.js';

/** How an adapter reads the records of operators and replicas. */
export interface AnnouncementFormat {
  readonly operatorTable: string;
  readonly replicaTable: string;
  readonly configurationKey: string;
  /** Key of the newest named version of a model. */
  versionKey(model: string): string;
  parseConfiguration(value: Buffer): RoutingConfiguration | undefined;
  parseNamedVersion(key: string, value: Buffer): { model: string; version: number } | undefined;
  parseReplica(id: string, value: Buffer): Replica | undefined;
}

type Content = StoredRecord[];

/** Partition of all announcements. */
const PARTITION = '';
/** Announcements that are as new as those taken before are taken, also when the store has shown something newer. */
const ALLOWS_OLD = true;

/** Takes the configuration and the named versions. */
export class OperatorAnnouncements implements FeedHandler<Content> {
  private configurationRecord: Buffer | undefined;

  constructor(
    private readonly store: RecordStore,
    private readonly format: AnnouncementFormat,
    private readonly routing: RoutingTable,
    private readonly versions: WeightVersions,
    private readonly metrics: ServiceMetrics,
    private readonly logger: DecisionLogger,
  ) {}

  get table(): string {
    return this.format.operatorTable;
  }

  readAll() {
    return readPartition(this.store, this.table, PARTITION, ALLOWS_OLD);
  }

  /** The configuration, and the named version of each model that it has. */
  knownAddresses(): RecordAddress[] {
    const services = this.routing.current?.configuration.services ?? [];
    const models = new Set([...services.flatMap((service) => service.models), ...this.versions.models]);
    const keys = [this.format.configurationKey, ...[...models].map((model) => this.format.versionKey(model))];
    return keys.map((key) => ({ table: this.table, partition: PARTITION, key }));
  }

  replaceAll(content: Content): void {
    for (const record of content) this.apply(record);
  }

  apply(change: ChangedRecord): void {
    if (change.value === undefined) return;
    if (change.key === this.format.configurationKey) this.takeConfiguration(change.value);
    else this.takeVersion(change.key, change.value);
  }

  /** The record of the configuration in force, as the operator wrote it. */
  get configuration(): Buffer | undefined {
    return this.configurationRecord;
  }

  /** Takes the operator's record of the configuration, from the store or from another node. */
  takeConfiguration(value: Buffer): void {
    const configuration = this.format.parseConfiguration(value);
    if (!configuration) {
      this.reportUnreadable(value);
      return;
    }
    const isInForce = this.routing.install(configuration);
    if (isInForce) this.configurationRecord = value;
    this.metrics.configVersion.set({}, this.routing.current?.version ?? 0);
    this.logger.record({
      event: 'belief-changed',
      subject: 'configuration',
      name: `${configuration.routes.length} routes`,
      change: isInForce ? 'in force' : 'older than the one in force',
      version: configuration.version,
    });
  }

  private reportUnreadable(value: Buffer): void {
    this.logger.record({
      event: 'belief-changed',
      subject: 'configuration',
      name: `${value.length} bytes`,
      change: 'unreadable, the one in force stays',
      version: this.routing.current?.version ?? 0,
    });
  }

  private takeVersion(key: string, value: Buffer): void {
    const named = this.format.parseNamedVersion(key, value);
    if (!named || !this.versions.note(named.model, named.version)) return;
    this.logger.record({
      event: 'belief-changed',
      subject: 'weight-version',
      name: named.model,
      change: 'named',
      version: named.version,
    });
  }
}

/** Takes the replicas. */
export class ReplicaAnnouncements implements FeedHandler<Content> {
  constructor(
    private readonly store: RecordStore,
    private readonly format: AnnouncementFormat,
    private readonly directory: ReplicaDirectory,
    private readonly logger: DecisionLogger,
  ) {}

  get table(): string {
    return this.format.replicaTable;
  }

  readAll() {
    return readPartition(this.store, this.table, PARTITION, ALLOWS_OLD);
  }

  knownAddresses(): RecordAddress[] {
    return this.directory.ids.map((key) => ({ table: this.table, partition: PARTITION, key }));
  }

  replaceAll(content: Content): void {
    const present = new Set(content.map((record) => record.key));
    for (const id of this.directory.ids) if (!present.has(id)) this.removeReplica(id, 0);
    for (const record of content) this.apply(record);
  }

  apply(change: ChangedRecord): void {
    if (change.value === undefined) {
      this.removeReplica(change.key, change.version);
      return;
    }
    const replica = this.format.parseReplica(change.key, change.value);
    if (!replica) return;
    const before = this.directory.get(replica.id)?.replica;
    this.directory.set(replica);
    if (!before) this.report(replica.id, `joined ${replica.service} at ${replica.address}`, change.version);
    else if (before.isDraining !== replica.isDraining) this.report(replica.id, 'draining', change.version);
  }

  private removeReplica(id: string, version: number): void {
    if (!this.directory.get(id)) return;
    this.directory.remove(id);
    this.report(id, 'gone', version);
  }

  private report(name: string, change: string, version: number): void {
    this.logger.record({ event: 'belief-changed', subject: 'replica', name, change, version });
  }
}
