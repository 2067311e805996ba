/**
 * Stores usage. A process replaces its own counts of a window on the condition that they are unchanged since
 * its last write, so that a delayed write never undoes a newer one. A report is written once, before it is
 * sent, so that all leaders send the same.
 */
import { err, ok, Result } from 'neverthrow';
import { monotonicMs } from '../../../common/clock.js';
import type { RecordAddress, RecordStore, StoredRecord } from '../../../protocol/record-store.js';
import type { TenantCounts } from '../../../protocol/service/usage.js';
import type { StateError } from '../../state-error.js';
import {
  ConflictError,
  ignoreUnreadable,
  type ReportUnreadable,
  readRange,
  transactWithRetry,
} from '../store/index.js';
import {
  COUNT_PARTITIONS,
  COUNT_TABLE,
  type CountRecord,
  countAddress,
  parseCount,
  parseReport,
  REPORT_PARTITION,
  REPORT_TABLE,
  type ReportRecord,
  reportAddress,
  type StoredCount,
  type StoredReport,
  type UsageSource,
  windowKey,
} from './usage-record.js';

/** Below the store's limit of 100 entries for a transaction. */
const REMOVAL_BATCH_SIZE = 90;
const REPORT_TIMEOUT_MS = 2_000;

export class UsageRepository {
  constructor(
    private readonly store: RecordStore,
    private readonly reportUnreadable: ReportUnreadable = ignoreUnreadable,
  ) {}

  /**
   * Replaces the counts of `source` in a window. `version` is that of its last write, 0 before the first.
   * Retries until the outcome is known and resolves to the new version. A conflict means that the records of
   * the window have been removed.
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

  /** Counts of all processes in the windows from `first` to `last`, inclusive. */
  async countsOf(first: number, last: number): Promise<Result<StoredCount[], StateError>> {
    const [from, until] = [windowKey(first), windowKey(last + 1)];
    const found = await Promise.all(
      COUNT_PARTITIONS.map((partition) => readRange(this.store, COUNT_TABLE, partition, from, until)),
    );
    return Result.combine(found).map((parts) =>
      parts.flatMap(({ records }) => this.read(records, parseCount)),
    );
  }

  /** All stored reports, in the order of their windows. */
  async reports(): Promise<Result<StoredReport[], StateError>> {
    const found = await readRange(this.store, REPORT_TABLE, REPORT_PARTITION);
    return found.map(({ records }) => this.read(records, parseReport));
  }

  /**
   * Creates the report of a window. Resolves to the existing report if another node created it first; one that
   * is unreadable is replaced.
   */
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
    if (!existing) return err(error);
    const [report] = this.read([existing], parseReport);
    if (report) return ok(report);
    const replaced = await this.replace(reportAddress(window), record, existing.version, deadlineMs);
    return replaced.map((version) => ({ ...record, window, version }));
  }

  /** Records that the collector has accepted a report. */
  async markReported({ window, version, ...record }: StoredReport): Promise<Result<number, StateError>> {
    const deadlineMs = monotonicMs() + REPORT_TIMEOUT_MS;
    return this.replace(reportAddress(window), { ...record, isReported: true }, version, deadlineMs);
  }

  /** Removes counts and reports of windows before these. Records left by a failure go with the next call. */
  async removeOld(countsBefore: number, reportsBefore: number): Promise<void> {
    for (const partition of COUNT_PARTITIONS)
      await this.removeRange(COUNT_TABLE, partition, windowKey(countsBefore));
    await this.removeRange(REPORT_TABLE, REPORT_PARTITION, windowKey(reportsBefore));
  }

  /** The readable ones of the records; the others are reported. */
  private read<T>(records: readonly StoredRecord[], parse: (record: StoredRecord) => Result<T, string>): T[] {
    return records.flatMap((record) => {
      const parsed = parse(record);
      if (parsed.isOk()) return [parsed.value];
      this.reportUnreadable(record, parsed.error);
      return [];
    });
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
