/**
 * Brings what one node learns of requests that end replicas to all others: writes it into the store until the store takes it,
 * keeps the newest reports for nodes that the store does not serve, and removes what has expired.
 */
import { type Clock, SYSTEM_CLOCK } from '../../../common/clock.js';
import { ConditionVariable } from '../../../common/condition-variable.js';
import { TokenBucket } from '../../../common/token-bucket.js';
import type { RecordStore, RecordWrite, StoredRecord } from '../../../protocol/record-store.js';
import { type CrashReportMessage, MAX_REPORTS } from '../../../protocol/service/crash-report-peer.js';
import { CRASH_EXPIRY_MS, parseCrashReport, timeOf } from '../../../state/service/replicas/index.js';

/** Records in one transaction at most. */
const MAX_RECORDS = 100;
/** Reports of one node in the long run, and at once: what is over that counts at this node alone. */
const REPORTS_PER_SECOND = 20;
const BURST_REPORTS = 200;
/** Reports that wait for the store at most: what is over that counts at this node alone. */
const MAX_PENDING = 1_000;
/** Pauses after a write that the store did not take, milliseconds. */
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 1_000;
/** How often what has expired is removed, milliseconds. */
const SWEEP_MS = 60_000;
/** A node that reads records of others removes those that have been due for this long, milliseconds. */
const OVERDUE_MS = CRASH_EXPIRY_MS;

function toMessage({ key, value }: RecordWrite): CrashReportMessage {
  return { key, value: value.toString('utf8') };
}

/** The reports of one node. */
export class CrashReports {
  /** Records that the store has not taken yet, by key. */
  private readonly pending = new Map<string, RecordWrite>();
  /** Records that this node has written, to be removed once they have expired. */
  private written: RecordWrite[] = [];
  /** The newest reports, of this node and of others, by key. */
  private readonly newestByKey = new Map<string, CrashReportMessage>();
  private readonly hasPending = new ConditionVariable();
  private readonly budget = new TokenBucket(REPORTS_PER_SECOND, BURST_REPORTS);

  constructor(
    private readonly store: RecordStore,
    private readonly clock: Clock = SYSTEM_CLOCK,
  ) {}

  /** What this node has learnt and the store has not taken yet. */
  get unreported(): readonly CrashReportMessage[] {
    return [...this.pending.values()].slice(0, MAX_REPORTS).map(toMessage);
  }

  /** The newest reports that this node knows. */
  get newest(): readonly CrashReportMessage[] {
    return [...this.newestByKey.values()];
  }

  /** Whether a report is known as it is. */
  knows({ key, value }: CrashReportMessage): boolean {
    return this.newestByKey.get(key)?.value === value;
  }

  /** Keeps a report for nodes that ask. */
  remember(message: CrashReportMessage): void {
    this.newestByKey.delete(message.key);
    this.newestByKey.set(message.key, message);
    const [oldest] = this.newestByKey.keys();
    if (this.newestByKey.size > MAX_REPORTS && oldest !== undefined) this.newestByKey.delete(oldest);
  }

  /** Tells all other nodes. */
  share(record: RecordWrite): void {
    this.remember(toMessage(record));
    if (this.pending.size >= MAX_PENDING || this.budget.take() > 0) return;
    this.pending.set(record.key, record);
    this.hasPending.notifyAll();
  }

  /** Resolves when there is something that the store must be told, after `ms` milliseconds at the latest. */
  untilNews(ms: number, signal: AbortSignal): Promise<void> {
    return this.hasPending.waitAtMost(ms, signal, this.clock);
  }

  /** Whether a record is none, or tells of a run that no longer counts. */
  isExpired(record: Pick<RecordWrite, 'key' | 'value'>, sinceMs = 0): boolean {
    const report = parseCrashReport(record);
    return !report || timeOf(report) < this.store.nowMs() - CRASH_EXPIRY_MS - sinceMs;
  }

  /** Writes and removes until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.writeAll(signal), this.sweepRegularly(signal)]);
  }

  /** Nodes that are gone for good leave their records behind. */
  async removeOverdue(records: readonly StoredRecord[]): Promise<void> {
    const overdue = records.filter((record) => this.isExpired(record, OVERDUE_MS));
    await this.remove(overdue);
  }

  private async writeAll(signal: AbortSignal): Promise<void> {
    let pauseMs = FIRST_PAUSE_MS;
    while (!signal.aborted) {
      while (this.pending.size === 0 && !signal.aborted) await this.hasPending.wait(signal);
      if (signal.aborted) return;
      const isTaken = await this.write();
      if (!isTaken) await this.clock.sleep(pauseMs * (0.5 + this.clock.random()), signal);
      pauseMs = isTaken ? FIRST_PAUSE_MS : Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
    }
  }

  /** Writes a batch; a repeat of a write that was done after all changes nothing. */
  private async write(): Promise<boolean> {
    const writes = [...this.pending.values()].slice(0, MAX_RECORDS);
    const outcome = await this.store.transact({ conditions: [], writes, removals: [] });
    if (outcome.isErr()) return false;
    for (const record of writes) if (this.pending.get(record.key) === record) this.pending.delete(record.key);
    this.written.push(...writes);
    return true;
  }

  private async sweepRegularly(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(SWEEP_MS, signal);
      if (!signal.aborted) await this.sweep();
    }
  }

  private async sweep(): Promise<void> {
    const due = this.written.filter((record) => this.isExpired(record));
    const removed = await this.remove(due);
    this.written = this.written.filter((record) => !removed.includes(record));
  }

  /** Removes the first of `records`; resolves to what is gone. */
  private async remove(records: readonly RecordWrite[]): Promise<readonly RecordWrite[]> {
    const removals = records.slice(0, MAX_RECORDS);
    if (removals.length === 0) return [];
    const outcome = await this.store.transact({ conditions: [], writes: [], removals });
    return outcome.isOk() ? removals : [];
  }
}
