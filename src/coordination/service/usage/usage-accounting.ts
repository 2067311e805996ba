/**
 * Usage accounting of one node: counts requests per tenant, stores the counts, and reports them while leader.
 */
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { RecordStore, StoredRecord } from '../../../protocol/record-store.js';
import type { UsageSettings } from '../../../protocol/service/service-settings.js';
import type { UsageSink } from '../../../protocol/service/usage.js';
import type { OwnerReference } from '../../../state/service/jobs/index.js';
import type { ReportUnreadable } from '../../../state/service/store/index.js';
import { UsageRepository } from '../../../state/service/usage/index.js';
import type { LeaderLease } from '../leadership/index.js';
import type { PeerAddresses } from '../membership/index.js';
import { UsageCounter } from './usage-counter.js';
import { UsageReporter } from './usage-reporter.js';
import { UsageWindows } from './usage-window.js';
import { UsageWriter } from './usage-writer.js';

export interface UsageAccountingServices {
  readonly settings: UsageSettings;
  readonly sink: UsageSink;
  readonly store: RecordStore;
  readonly peers: PeerAddresses;
  readonly lease: LeaderLease;
  readonly self: OwnerReference;
  readonly reportUnreadable: ReportUnreadable;
  readonly metrics: ServiceMetrics;
  readonly logger: DecisionLogger;
}

export class UsageAccounting {
  readonly counter: UsageCounter;
  readonly lease: LeaderLease;
  private readonly writer: UsageWriter;
  private readonly reporter: UsageReporter;

  constructor(private readonly services: UsageAccountingServices) {
    const { settings, sink, store, peers, lease, self, metrics, logger } = services;
    const windows = new UsageWindows(() => peers.time.now(), settings.windowMs);
    const repository = new UsageRepository(store, services.reportUnreadable);
    this.lease = lease;
    this.counter = new UsageCounter(windows);
    this.writer = new UsageWriter(repository, self, this.counter, windows, () => peers.fleetSize);
    this.reporter = new UsageReporter({
      repository,
      lease,
      sink,
      windows,
      dueMs: settings.dueMs,
      nodeName: self.node,
      metrics,
      logger,
    });
  }

  /** Stores and reports counts until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.writer.run(signal), this.reporter.run(signal)]);
  }

  /** Applies the lease records read from the store; if `mayLead`, tries to acquire the reporting lease. */
  observe(records: readonly StoredRecord[], mayLead: boolean): void {
    this.lease.observe(
      records,
      mayLead && this.reporter.mayAcquireLease && this.services.store.isAnswering(),
    );
  }

  /** Stores pending counts; returns early when `signal` is aborted. */
  flush(signal: AbortSignal): Promise<void> {
    return this.writer.flush(signal);
  }

  /** Updates the gauges. */
  measure(): void {
    this.services.metrics.usageLost.set({}, this.counter.lostRequests);
  }
}
