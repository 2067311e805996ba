/**
 * Publishes the crash reports of one node: writes them to the store with retries, caches the most recent ones
 * for peers without access to the store, and removes expired records. Reports that exceed the limits below
 * are not written and affect this node only.
 */
import { type Clock, SYSTEM_CLOCK } from '../../../common/clock.js';
import { ConditionVariable } from '../../../common/condition-variable.js';
import { TokenBucket } from '../../../common/token-bucket.js';
import type { RecordStore, RecordWrite, StoredRecord } from '../../../protocol/record-store.js';
import { type CrashReportMessage, MAX_REPORTS } from '../../../protocol/service/crash-report-peer.js';
import { CRASH_EXPIRY_MS, parseCrashReport, reportTimeMs } from '../../../state/service/replicas/index.js';

/** Limit of the store. */
const MAX_RECORDS_PER_TRANSACTION = 100;
/** Rate limit of a node's reports. The burst has room for all requests that one crash interrupts. */
const REPORTS_PER_SECOND = 20;
const REPORT_BURST = 200;
/** Bounds the memory used during an outage of the store. */
const MAX_PENDING_REPORTS = 1_000;
/** Backoff after failed writes: doubles up to the maximum, with jitter of 50 %. */
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;
/** Interval of removing expired records; short compared with their expiry. */
const SWEEP_INTERVAL_MS = 60_000;
/** Time after expiry for which only the writer of a record removes it. */
const ORPHAN_GRACE_MS = CRASH_EXPIRY_MS;

function toMessage({ key, value }: RecordWrite): CrashReportMessage {
  return { key, value: value.toString('utf8') };
}

export class CrashReports {
  /** Records that wait to be written, by key. */
  private readonly pending = new Map<string, RecordWrite>();
  /** Records written by this node, which removes them after expiry. */
  private written: RecordWrite[] = [];
  /** Most recent reports of all nodes by key, in insertion order. */
  private readonly recentByKey = new Map<string, CrashReportMessage>();
  private readonly pendingAdded = new ConditionVariable();
  private readonly rateLimit = new TokenBucket(REPORTS_PER_SECOND, REPORT_BURST);

  constructor(
    private readonly store: RecordStore,
    private readonly clock: Clock = SYSTEM_CLOCK,
  ) {}

  /** Up to `MAX_REPORTS` reports that are not in the store yet. */
  get unwritten(): readonly CrashReportMessage[] {
    return [...this.pending.values()].slice(0, MAX_REPORTS).map(toMessage);
  }

  /** Up to `MAX_REPORTS` most recent reports of all nodes. */
  get recent(): readonly CrashReportMessage[] {
    return [...this.recentByKey.values()];
  }

  /** Whether a report with the same key and value is cached. */
  has({ key, value }: CrashReportMessage): boolean {
    return this.recentByKey.get(key)?.value === value;
  }

  /** Caches a report and evicts the oldest one over `MAX_REPORTS`. */
  addRecent(message: CrashReportMessage): void {
    this.recentByKey.delete(message.key);
    this.recentByKey.set(message.key, message);
    const [oldest] = this.recentByKey.keys();
    if (this.recentByKey.size > MAX_REPORTS && oldest !== undefined) this.recentByKey.delete(oldest);
  }

  /** Queues a report for writing to the store; over the limits it is only cached. */
  enqueue(record: RecordWrite): void {
    this.addRecent(toMessage(record));
    if (this.pending.size >= MAX_PENDING_REPORTS || this.rateLimit.take() > 0) return;
    this.pending.set(record.key, record);
    this.pendingAdded.notifyAll();
  }

  /** Resolves when a report is queued, after `ms` milliseconds, or when `signal` is aborted. */
  waitForPending(ms: number, signal: AbortSignal): Promise<void> {
    return this.pendingAdded.waitWithTimeout(ms, signal, this.clock);
  }

  /** Whether a record is malformed, or expired more than `sinceMs` milliseconds ago. */
  isExpired(record: Pick<RecordWrite, 'key' | 'value'>, sinceMs = 0): boolean {
    const report = parseCrashReport(record);
    return !report || reportTimeMs(report) < this.store.nowMs() - CRASH_EXPIRY_MS - sinceMs;
  }

  /** Writes reports and removes expired records until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.writeContinuously(signal), this.sweepPeriodically(signal)]);
  }

  /** Removes records that their writers should have removed already. */
  async removeOrphaned(records: readonly StoredRecord[]): Promise<void> {
    const orphaned = records.filter((record) => this.isExpired(record, ORPHAN_GRACE_MS));
    await this.remove(orphaned);
  }

  private async writeContinuously(signal: AbortSignal): Promise<void> {
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!signal.aborted) {
      while (this.pending.size === 0 && !signal.aborted) await this.pendingAdded.wait(signal);
      if (signal.aborted) return;
      const isWritten = await this.writeBatch();
      if (!isWritten) await this.clock.sleep(backoffMs * (0.5 + this.clock.random()), signal);
      backoffMs = isWritten ? INITIAL_BACKOFF_MS : Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
  }

  /** Returns false if the batch must be retried. Retries are idempotent: they write the same bytes. */
  private async writeBatch(): Promise<boolean> {
    const writes = [...this.pending.values()].slice(0, MAX_RECORDS_PER_TRANSACTION);
    const outcome = await this.store.transact({ conditions: [], writes, removals: [] });
    if (outcome.isErr()) return false;
    for (const record of writes) if (this.pending.get(record.key) === record) this.pending.delete(record.key);
    this.written.push(...writes);
    return true;
  }

  private async sweepPeriodically(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(SWEEP_INTERVAL_MS, signal);
      if (!signal.aborted) await this.sweep();
    }
  }

  private async sweep(): Promise<void> {
    const expired = this.written.filter((record) => this.isExpired(record));
    const removed = await this.remove(expired);
    this.written = this.written.filter((record) => !removed.includes(record));
  }

  /**
   * Removes one transaction's worth of records. Returns those removed; after a failure none, until the next
   * sweep.
   */
  private async remove(records: readonly RecordWrite[]): Promise<readonly RecordWrite[]> {
    const removals = records.slice(0, MAX_RECORDS_PER_TRANSACTION);
    if (removals.length === 0) return [];
    const outcome = await this.store.transact({ conditions: [], writes: [], removals });
    return outcome.isOk() ? removals : [];
  }
}
