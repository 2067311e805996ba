/**
 * Shares the crash reports of one node: writes them to the store until it accepts them, keeps the newest ones
 * for peers that the store rejects, and removes expired records.
 *
 * Owns: reports not written yet, the newest reports of all nodes, the records that this node wrote. While the
 * store does not accept writes it retries with backoff; reports over the limits below count at this node
 * alone.
 */
import { type Clock, SYSTEM_CLOCK } from '../../../common/clock.js';
import { ConditionVariable } from '../../../common/condition-variable.js';
import { TokenBucket } from '../../../common/token-bucket.js';
import type { RecordStore, RecordWrite, StoredRecord } from '../../../protocol/record-store.js';
import { type CrashReportMessage, MAX_REPORTS } from '../../../protocol/service/crash-report-peer.js';
import { CRASH_EXPIRY_MS, parseCrashReport, reportTimeMs } from '../../../state/service/replicas/index.js';

/** Most records in one transaction: the store's limit of entries. */
const MAX_RECORDS_PER_TRANSACTION = 100;
/** Rate limit of a node's reports, and burst. Chosen, not measured: a crash's requests fit the burst. */
const REPORTS_PER_SECOND = 20;
const REPORT_BURST = 200;
/**
 * Most reports that wait for the store. Chosen, not measured: bounds the memory of a node during an outage.
 */
const MAX_PENDING_REPORTS = 1_000;
/** Backoff after a failed write, milliseconds, randomized by half. Chosen, not measured. */
const INITIAL_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;
/** Interval of removing expired records, milliseconds. Chosen, not measured: short against their expiry. */
const SWEEP_INTERVAL_MS = 60_000;
/** Time after expiry at which any node removes a record, ms. Chosen: the writer has had its time again. */
const ORPHAN_GRACE_MS = CRASH_EXPIRY_MS;

function toMessage({ key, value }: RecordWrite): CrashReportMessage {
  return { key, value: value.toString('utf8') };
}

/** The reports of one node. */
export class CrashReports {
  /** Records not written yet, by key. */
  private readonly pending = new Map<string, RecordWrite>();
  /** Records that this node wrote and removes after expiry. */
  private written: RecordWrite[] = [];
  /** The newest reports, of this node and of others, by key. */
  private readonly recentByKey = new Map<string, CrashReportMessage>();
  private readonly pendingAdded = new ConditionVariable();
  private readonly rateLimit = new TokenBucket(REPORTS_PER_SECOND, REPORT_BURST);

  constructor(
    private readonly store: RecordStore,
    private readonly clock: Clock = SYSTEM_CLOCK,
  ) {}

  /** Reports that the store has not accepted yet, at most `MAX_REPORTS`. */
  get unwritten(): readonly CrashReportMessage[] {
    return [...this.pending.values()].slice(0, MAX_REPORTS).map(toMessage);
  }

  /** The newest reports that this node knows, at most `MAX_REPORTS`. */
  get recent(): readonly CrashReportMessage[] {
    return [...this.recentByKey.values()];
  }

  /** Whether this very report is known. */
  has({ key, value }: CrashReportMessage): boolean {
    return this.recentByKey.get(key)?.value === value;
  }

  /** Keeps a report for peers that ask for the newest. */
  addRecent(message: CrashReportMessage): void {
    this.recentByKey.delete(message.key);
    this.recentByKey.set(message.key, message);
    const [oldest] = this.recentByKey.keys();
    if (this.recentByKey.size > MAX_REPORTS && oldest !== undefined) this.recentByKey.delete(oldest);
  }

  /** Queues a report for the store, from which all other nodes read it; drops it over the limits. */
  enqueue(record: RecordWrite): void {
    this.addRecent(toMessage(record));
    if (this.pending.size >= MAX_PENDING_REPORTS || this.rateLimit.take() > 0) return;
    this.pending.set(record.key, record);
    this.pendingAdded.notifyAll();
  }

  /** Resolves when a report waits for the store, after `ms` milliseconds at the latest. */
  waitForPending(ms: number, signal: AbortSignal): Promise<void> {
    return this.pendingAdded.waitWithTimeout(ms, signal, this.clock);
  }

  /** Whether a record cannot be parsed, or expired more than `sinceMs` milliseconds ago. */
  isExpired(record: Pick<RecordWrite, 'key' | 'value'>, sinceMs = 0): boolean {
    const report = parseCrashReport(record);
    return !report || reportTimeMs(report) < this.store.nowMs() - CRASH_EXPIRY_MS - sinceMs;
  }

  /** Writes reports and removes expired records until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.writeContinuously(signal), this.sweepPeriodically(signal)]);
  }

  /** Removes records whose writers are gone for good. */
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

  /**
   * Writes a batch; false when it must be retried. A retry after a lost answer writes the same bytes again.
   */
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

  /** Removes the first `MAX_RECORDS`; resolves to those removed, none on failure: the next sweep retries. */
  private async remove(records: readonly RecordWrite[]): Promise<readonly RecordWrite[]> {
    const removals = records.slice(0, MAX_RECORDS_PER_TRANSACTION);
    if (removals.length === 0) return [];
    const outcome = await this.store.transact({ conditions: [], writes: [], removals });
    return outcome.isOk() ? removals : [];
  }
}
