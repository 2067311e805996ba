/**
 * Tasks that one node does for the whole fleet: commanding weight loads, and reporting usage where that is
 * configured.
 *
 * Owns: a leader lease per task, and usage accounting. Relies on: the session monitor (loss of a leader), the
 * store (leases). Without the store no lease is confirmed and neither task acts; usage is counted on in
 * memory.
 */
import { sleep } from '../../common/clock.js';
import { LeaderLease } from '../../coordination/service/leadership/index.js';
import type { PeerAddresses, SessionMonitor } from '../../coordination/service/membership/index.js';
import { UsageAccounting } from '../../coordination/service/usage/index.js';
import type { StoredRecord } from '../../protocol/record-store.js';
import type { UsageSettings } from '../../protocol/service/service-settings.js';
import type { OwnerReference } from '../../state/service/jobs/index.js';
import type { NodeContext } from './node-context.js';
import type { SessionRole } from './session-roles.js';

/** Names of the tasks in stored keys and logs: commanding loads, and reporting usage. */
const LOAD_COMMANDS_TASK = 'weight-orders';
const USAGE_TASK = 'usage';
/** Longest final attempt to store counted usage. Chosen, not measured. */
const FLUSH_TIMEOUT_MS = 1_500;

/** The singleton tasks as one node takes part in them. */
export class SingletonTasks implements SessionRole {
  readonly loadLease: LeaderLease;
  /** `undefined` where no usage is reported. */
  readonly usage: UsageAccounting | undefined;

  constructor(
    private readonly context: NodeContext,
    private readonly sessions: SessionMonitor,
    peers: PeerAddresses,
  ) {
    const { usage } = context.settings();
    this.loadLease = this.createLease(LOAD_COMMANDS_TASK);
    this.usage = usage && this.createUsage(usage, peers);
  }

  isHolder(): boolean {
    return this.leases.some((lease) => lease.isHeld);
  }

  mustWatch(): boolean {
    return this.hasModels || this.usage !== undefined;
  }

  holders(): OwnerReference[] {
    return this.leases.flatMap((lease) => lease.holder ?? []);
  }

  /** Takes the lease records that were read; acquires free leases if `mayLead`. */
  observe(records: readonly StoredRecord[], mayLead: boolean): void {
    this.loadLease.observe(records, this.hasModels && mayLead);
    this.usage?.observe(records, mayLead);
  }

  /** Counts a request of `tenant` that is sent now. Call what is returned if it turns out not to have run. */
  countRequest(tenant: string): () => void {
    return this.usage?.counter.countRequest(tenant) ?? (() => {});
  }

  /** Releases all leases that are held. */
  async releaseLeases(): Promise<void> {
    await Promise.all(this.leases.map((lease) => lease.release()));
  }

  /** Stores counted usage before the process ends; gives up after `FLUSH_MS`. */
  async flushUsage(): Promise<void> {
    if (this.usage)
      await Promise.race([this.usage.flush(AbortSignal.timeout(FLUSH_TIMEOUT_MS)), sleep(FLUSH_TIMEOUT_MS)]);
  }

  /** Sets the gauges. */
  measure(): void {
    this.context.metrics.leaderLeasesHeld.set({}, this.leases.filter((lease) => lease.isHeld).length);
    this.usage?.measure();
  }

  private get leases(): LeaderLease[] {
    return [this.loadLease, ...(this.usage ? [this.usage.lease] : [])];
  }

  private get hasModels(): boolean {
    const services = this.context.routing.current?.configuration.services ?? [];
    return services.some((service) => service.models.length > 0);
  }

  private createLease(task: string): LeaderLease {
    const { store, self, settings, logger } = this.context;
    return new LeaderLease(store, task, self, this.sessions, () => settings().leaseMs, logger);
  }

  private createUsage(settings: UsageSettings, peers: PeerAddresses): UsageAccounting {
    const sink = this.context.createUsageSink(settings);
    return new UsageAccounting({
      ...this.context,
      settings,
      sink,
      peers,
      lease: this.createLease(USAGE_TASK),
    });
  }
}
