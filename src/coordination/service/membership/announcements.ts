/**
 * Applies what operators and trainers announce through the store: the configuration, the newest weight
 * version of each model, and evacuated zones, whose replicas get no requests. An adapter parses the records.
 * A configuration that cannot be parsed is logged and ignored.
 */
import type { Result } from 'neverthrow';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type {
  ChangedRecord,
  RecordAddress,
  RecordStore,
  StoredRecord,
} from '../../../protocol/record-store.js';
import type { Replica } from '../../../protocol/service/replica.js';
import type { RoutingConfiguration } from '../../../protocol/service/routing-configuration.js';
import type { RoutingTable } from '../../../state/service/configuration/index.js';
import type { ReplicaDirectory, WeightVersions } from '../../../state/service/replicas/index.js';
import { ignoreUnreadable, type ReportUnreadable } from '../../../state/service/store/index.js';
import { applyEach, type FeedHandler, readPartition } from '../../feeds/index.js';

/** Tables, keys and parsers of the records that operators and replicas write. */
export interface AnnouncementFormat {
  readonly operatorTable: string;
  readonly replicaTable: string;
  readonly configurationKey: string;
  /** Key of the record that holds the newest announced weight version of a model. */
  weightVersionKey(model: string): string;
  parseConfiguration(value: Buffer): RoutingConfiguration | undefined;
  parseWeightVersion(key: string, value: Buffer): { model: string; version: number } | undefined;
  /** The zone that is evacuated while a record with this key exists; `undefined` for other keys. */
  evacuatedZoneOf(key: string): string | undefined;
  evacuationKey(zone: string): string;
  /** Returns the replica, or what is wrong with the record. */
  parseReplica(id: string, value: Buffer): Result<Replica, string>;
}

/** All records of an announcement table. */
export type AnnouncementRecords = StoredRecord[];

export const ANNOUNCEMENT_PARTITION = '';
/** Table reads may be stale: the feed ignores those that are older than what it has applied. */
export const ALLOW_STALE = true;

export class OperatorAnnouncements implements FeedHandler<AnnouncementRecords> {
  private configurationRecord: Buffer | undefined;

  constructor(
    private readonly store: RecordStore,
    private readonly format: AnnouncementFormat,
    private readonly routing: RoutingTable,
    private readonly versions: WeightVersions,
    private readonly directory: ReplicaDirectory,
    private readonly metrics: ServiceMetrics,
    private readonly logger: DecisionLogger,
    private readonly reportUnreadable: ReportUnreadable = ignoreUnreadable,
  ) {}

  get table(): string {
    return this.format.operatorTable;
  }

  readAll() {
    return readPartition(this.store, this.table, ANNOUNCEMENT_PARTITION, ALLOW_STALE);
  }

  /** Addresses of the configuration, of each known model's version, and of each known zone's evacuation. */
  knownAddresses(): RecordAddress[] {
    const services = this.routing.current?.configuration.services ?? [];
    const models = new Set([...services.flatMap((service) => service.models), ...this.versions.models]);
    const keys = [
      this.format.configurationKey,
      ...[...models].map((model) => this.format.weightVersionKey(model)),
      ...this.directory.zones.map((zone) => this.format.evacuationKey(zone)),
    ];
    return keys.map((key) => ({ table: this.table, partition: ANNOUNCEMENT_PARTITION, key }));
  }

  replaceAll(content: AnnouncementRecords): void {
    const present = new Set(content.map(({ key }) => this.format.evacuatedZoneOf(key)));
    for (const zone of this.directory.evacuatedZones)
      if (!present.has(zone)) this.applyEvacuation(zone, false, 0);
    applyEach(
      content,
      ({ key }) => key,
      (record) => this.apply(record),
    );
  }

  apply(change: ChangedRecord): void {
    const zone = this.format.evacuatedZoneOf(change.key);
    if (zone !== undefined) this.applyEvacuation(zone, change.value !== undefined, change.version);
    if (zone !== undefined || change.value === undefined) return;
    const isReadable =
      change.key === this.format.configurationKey
        ? this.applyConfiguration(change.value)
        : this.applyWeightVersion(change.key, change.value);
    if (!isReadable) this.reportUnreadable(change, 'no configuration or named version');
  }

  /** The current configuration as the operator wrote it. */
  get configuration(): Buffer | undefined {
    return this.configurationRecord;
  }

  /**
   * Applies a configuration record from the store or from a peer. Older versions are ignored. Returns false if
   * it is unreadable.
   */
  applyConfiguration(value: Buffer): boolean {
    const configuration = this.format.parseConfiguration(value);
    if (!configuration) {
      this.logKept(value);
      return false;
    }
    const isInstalled = this.routing.install(configuration);
    if (isInstalled) this.configurationRecord = value;
    this.metrics.configVersion.set({}, this.routing.current?.version ?? 0);
    this.logger.record({
      event: 'belief-changed',
      subject: 'configuration',
      name: `${configuration.routes.length} routes`,
      change: isInstalled ? 'in force' : 'older than the one in force',
      version: configuration.version,
    });
    return true;
  }

  private applyEvacuation(zone: string, isEvacuated: boolean, version: number): void {
    if (!this.directory.setEvacuated(zone, isEvacuated)) return;
    const change = isEvacuated ? 'out of use' : 'in use again';
    this.logger.record({ event: 'belief-changed', subject: 'zone', name: zone, change, version });
  }

  private logKept(value: Buffer): void {
    this.logger.record({
      event: 'belief-changed',
      subject: 'configuration',
      name: `${value.length} bytes`,
      change: 'unreadable; the one in force is kept',
      version: this.routing.current?.version ?? 0,
    });
  }

  /** Returns false if the record is unreadable. */
  private applyWeightVersion(key: string, value: Buffer): boolean {
    const parsed = this.format.parseWeightVersion(key, value);
    if (!parsed) return false;
    if (!this.versions.record(parsed.model, parsed.version)) return true;
    this.logger.record({
      event: 'belief-changed',
      subject: 'weight-version',
      name: parsed.model,
      change: 'named',
      version: parsed.version,
    });
    return true;
  }
}
