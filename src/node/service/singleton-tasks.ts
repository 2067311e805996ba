/**
 * Tasks that one node performs for the whole fleet, each under a leader lease: commanding weight loads and,
 * if configured, reporting usage. Without the store no lease is confirmed and neither task acts; usage is
 * still counted in memory.
 */
import { sleep } from '../../common/clock.js';
import { SYSTEM_TIME } from '../../common/elapsed-time.js';
import { LeaderLease } from '../../coordination/service/leadership/index.js';
import type { PeerAddresses, SessionMonitor } from '../../coordination/service/membership/index.js';
import { UsageAccounting } from '../../coordination/service/usage/index.js';
import type { StoredRecord } from '../../protocol/record-store.js';
import type { UsageSettings } from '../../protocol/service/service-settings.js';
import type { OwnerReference } from '../../state/service/jobs/index.js';
import type { NodeContext } from './node-context.js';
import type { SessionRole } from './session-roles.js';

/** Names of the tasks in stored keys and logs. */
const LOAD_COMMANDS_TASK = 'weight-orders';
const USAGE_TASK = 'usage';
const FLUSH_TIMEOUT_MS = 1_500;

export class SingletonTasks implements SessionRole {
  readonly loadLease: LeaderLease;
  /** `undefined` if usage is not reported. */
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

  /** Processes lease records read from the store; acquires free leases if `mayLead`. */
  observe(records: readonly StoredRecord[], mayLead: boolean): void {
    this.loadLease.observe(records, this.hasModels && mayLead);
    this.usage?.observe(records, mayLead);
  }

  /** Counts a request of `tenant` that is being sent; the returned function undoes it if it did not run. */
  countRequest(tenant: string): () => void {
    return this.usage?.counter.countRequest(tenant) ?? (() => {});
  }

  async releaseLeases(): Promise<void> {
    await Promise.all(this.leases.map((lease) => lease.release()));
  }

  /** Stores counted usage before the process exits, within `FLUSH_TIMEOUT_MS`. */
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
    const { store, self, settings, logger, reportUnreadable } = this.context;
    const guardMs = () => settings().leaseMs;
    return new LeaderLease(store, task, self, this.sessions, guardMs, logger, SYSTEM_TIME, reportUnreadable);
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
