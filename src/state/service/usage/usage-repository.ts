/**
 * Usage in the record store. A process overwrites its own counts of a window on the condition that they are
 * as it last wrote them, so that a late write never undoes a newer one. A report is written once, before it
 * is sent, so that every leader sends the same.
 */
import { err, ok, Result } from 'neverthrow';
import { monotonicMs } from '../../../common/clock.js';
import type { RecordAddress, RecordStore, StoredRecord } from '../../../protocol/record-store.js';
import type { TenantCounts } from '../../../protocol/service/usage.js';
import type { StateError } from '../../state-error.js';
import { ConflictError, readRange, transactWithRetry } from '../store/index.js';
import {
  COUNT_PARTITIONS,
  COUNT_TABLE,
  type CountRecord,
  countAddress,
  nodeOfKey,
  REPORT_PARTITION,
  REPORT_TABLE,
  type ReportRecord,
  reportAddress,
  type StoredCount,
  type StoredReport,
  type UsageSource,
  windowKey,
  windowOfKey,
} from './usage-record.js';

/** Most records removed in one transaction, below the store's limit of 100 entries. */
const REMOVAL_BATCH_SIZE = 90;
/** Longest time for settling one change of a report, milliseconds. Chosen, not measured. */
const REPORT_TIMEOUT_MS = 2_000;

/** Access to stored usage. */
export class UsageRepository {
  constructor(private readonly store: RecordStore) {}

  /**
   * Overwrites what `source` has counted in a window; `version` is that of its last write, 0 before the
   * first. Repeats the write until its outcome is certain. Resolves to the new version; a conflict means that
   * the window is already cleared.
   */
  async saveCounts(
    window: number,
    source: UsageSource,
    record: CountRecord,
    version: number,
    signal: AbortSignal,
  ): Promise<Result<number, StateError>> {
    return this.replace(countAddress(window, source), record, version, Number.POSITIVE_INFINITY, signal);
  }

  /** Counts of all processes in the windows from `first` to `last`, both included. */
  async countsOf(first: number, last: number): Promise<Result<StoredCount[], StateError>> {
    const [from, until] = [windowKey(first), windowKey(last + 1)];
    const found = await Promise.all(
      COUNT_PARTITIONS.map((partition) => readRange(this.store, COUNT_TABLE, partition, from, until)),
    );
    return Result.combine(found).map((parts) => parts.flatMap(({ records }) => records.map(toCount)));
  }

  /** All stored reports, in the order of their windows. */
  async reports(): Promise<Result<StoredReport[], StateError>> {
    const found = await readRange(this.store, REPORT_TABLE, REPORT_PARTITION);
    return found.map(({ records }) => records.map(toReport));
  }

  /** Decides the report of a window. Resolves to the decision of another node, if that was first. */
  async decide(
    window: number,
    counts: TenantCounts,
    decidedBy: string,
  ): Promise<Result<StoredReport, StateError>> {
    const record: ReportRecord = { counts, isReported: false, decidedBy };
    const deadlineMs = monotonicMs() + REPORT_TIMEOUT_MS;
    const written = await this.replace(reportAddress(window), record, 0, deadlineMs);
    if (written.isOk()) return ok({ ...record, window, version: written.value });
    const { error } = written;
    const [existing] = error instanceof ConflictError ? error.current : [];
    return existing ? ok(toReport(existing)) : err(error);
  }

  /** Notes that a report was accepted. */
  async markReported({ window, version, ...record }: StoredReport): Promise<Result<number, StateError>> {
    const deadlineMs = monotonicMs() + REPORT_TIMEOUT_MS;
    return this.replace(reportAddress(window), { ...record, isReported: true }, version, deadlineMs);
  }

  /** Removes counts and reports of windows before these. What a failure leaves, the next call removes. */
  async removeOld(countsBefore: number, reportsBefore: number): Promise<void> {
    for (const partition of COUNT_PARTITIONS)
      await this.removeRange(COUNT_TABLE, partition, windowKey(countsBefore));
    await this.removeRange(REPORT_TABLE, REPORT_PARTITION, windowKey(reportsBefore));
  }

  private async replace(
    address: RecordAddress,
    record: CountRecord | ReportRecord,
    version: number,
    deadlineMs: number,
    signal?: AbortSignal,
  ): Promise<Result<number, StateError>> {
    const value = Buffer.from(JSON.stringify(record), 'utf8');
    let appliedVersion = 0;
    const outcome = await transactWithRetry(
      this.store,
      { conditions: [{ ...address, version }], writes: [{ ...address, value }], removals: [] },
      {
        deadlineMs,
        signal,
        isApplied: (current) => {
          const own = current.find((row) => row.key === address.key && row.value.equals(value));
          appliedVersion = own?.version ?? 0;
          return own !== undefined;
        },
      },
    );
    return outcome.map((written) => written || appliedVersion);
  }

  private async removeRange(table: string, partition: string, until: string): Promise<void> {
    for (let hasMore = true; hasMore; ) {
      const page = await this.store.scan({ table, partition, until, limit: REMOVAL_BATCH_SIZE });
      if (page.isErr() || page.value.records.length === 0) return;
      const removals = page.value.records.map(({ key }) => ({ table, partition, key }));
      const removed = await this.store.transact({ conditions: [], writes: [], removals });
      hasMore = page.value.hasMore && removed.isOk();
    }
  }
}

function parse<T>(value: Buffer): T {
  return JSON.parse(value.toString('utf8')) as T;
}

function toCount({ key, value }: StoredRecord): StoredCount {
  return { window: windowOfKey(key), node: nodeOfKey(key), ...parse<CountRecord>(value) };
}

function toReport({ key, value, version }: StoredRecord): StoredReport {
  return { ...parse<ReportRecord>(value), window: windowOfKey(key), version };
}
