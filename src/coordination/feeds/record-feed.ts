/**
 * Follows one table of the store: reads a snapshot, then applies changes in order. When the store has lost
 * its change history, a new snapshot is read. While snapshots are stale after such a loss, the known records
 * are read individually and changes are followed from there, until a current snapshot completes the table:
 * with snapshots alone, a change would be in force seconds later (docs/design/configuration-freshness.md).
 * Data older than what has been applied is ignored. An exception of the handler is reported; it neither ends
 * the feed nor skips another record.
 */
import type { Result } from 'neverthrow';
import { monotonicMs, sleep } from '../../common/clock.js';
import type {
  ChangedRecord,
  RecordAddress,
  RecordChanges,
  RecordStore,
  RecordStoreError,
  StoredRecord,
} from '../../protocol/record-store.js';
import type { StateError } from '../../state/state-error.js';
import { readCurrent, readRange } from '../../state/store/index.js';
import { failuresOf } from './apply-each.js';

/** Bounds the age of a feed without changes, and its call rate. */
export const LONG_POLL_TIMEOUT_MS = 1_200;
/** Exponential back-off with jitter after failed calls. */
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 400;
/** Between snapshots of a table of which only the known records were read. */
const SNAPSHOT_RETRY_INTERVAL_MS = 1_000;

/** A snapshot of a table, and the version from which its changes continue. */
export interface TableContent<T> {
  readonly content: T;
  readonly version: number;
  /** Whether the snapshot is stale. Default: false. */
  readonly isStale?: boolean;
}

/** Reads a table and processes its records. */
export interface FeedHandler<T> {
  readonly table: string;
  readAll(): Promise<Result<TableContent<T>, StateError>>;
  /**
   * Replaces all records: those that are not in `content` no longer exist, unless they are newer than `version` of
   * the store, at which it was read. Uses `applyEach`.
   */
  replaceAll(content: T, version: number): void;
  apply(change: ChangedRecord): void;
  /** All changes before `asOfMs`, on the monotonic clock, have been applied. */
  confirm?(asOfMs: number): void;
  /** Addresses of known records, all in one partition; without it the feed waits for a current snapshot. */
  knownAddresses?(): RecordAddress[];
}

export interface FeedObserver {
  /** Called when the store has answered a request for changes. */
  answered?(table: string): void;
  /** Called when a snapshot was read or the history was lost. */
  changed(table: string, change: string, version: number): void;
  /** Called when the handler has failed with a record; `key` is empty if it is not known which one. */
  failed?(table: string, key: string, problem: string, version: number): void;
}

export class RecordFeed<T> {
  /** Start of the newest answered request for changes, on the monotonic clock. */
  private currentAsOfMs = Number.NEGATIVE_INFINITY;
  private position = 0;
  /** Position at the last loss of history: a snapshot that is not newer is stale. */
  private historyLostAt = -1;
  /** Whether the last snapshot may be stale, since no answer about changes has followed it. */
  private mayBeStale = true;
  /** Whether there may be unknown records, because no current snapshot was read. */
  private isPartial = false;
  private lastReadAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly store: RecordStore,
    private readonly handler: FeedHandler<T>,
    private readonly observer: FeedObserver,
    /** Delays the next long poll after changes were applied. Default: no delay. */
    private readonly pause: (signal: AbortSignal) => Promise<void> = () => Promise.resolve(),
  ) {}

  get table(): string {
    return this.handler.table;
  }

  /**
   * Time since the start of the newest answered request for changes, milliseconds: all earlier changes are
   * applied. Infinite before the first answer. Snapshots do not count, since they may be stale.
   */
  get ageMs(): number {
    return monotonicMs() - this.currentAsOfMs;
  }

  /** Runs until `signal` is aborted. After a loss of history, nodes read again with jitter. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        if (await this.readSnapshot(signal)) await this.followChanges(signal);
        await sleep(withJitter(MIN_BACKOFF_MS), signal);
      } catch (cause) {
        this.reportFailures(cause, this.position);
        await sleep(withJitter(MAX_BACKOFF_MS), signal);
      }
    }
  }

  private async readSnapshot(signal: AbortSignal): Promise<boolean> {
    let backoffMs = MIN_BACKOFF_MS;
    while (!signal.aborted) {
      if (await this.tryReadSnapshot()) return true;
      await sleep(withJitter(backoffMs), signal);
      backoffMs = nextBackoffMs(backoffMs);
    }
    return false;
  }

  /** Returns whether changes can be followed now. */
  private async tryReadSnapshot(): Promise<boolean> {
    this.lastReadAtMs = monotonicMs();
    const read = await this.handler.readAll();
    if (read.isErr()) return false;
    const { content, version, isStale = false } = read.value;
    if (version >= this.position) {
      this.replaceAll(content, version);
      this.position = version;
    }
    const canFollow = version >= this.position && version > this.historyLostAt;
    if (canFollow && !isStale) {
      this.isPartial = false;
      this.mayBeStale = true;
      this.report('snapshot read');
      return true;
    }
    return (await this.readKnownRecords(version)) || canFollow;
  }

  /** Reads the known records individually, since the snapshot is stale: it shows `staleVersion`. */
  private async readKnownRecords(staleVersion: number): Promise<boolean> {
    const addresses = this.handler.knownAddresses?.() ?? [];
    if (addresses.length === 0) return false;
    const requestedAtMs = monotonicMs();
    const current = await readCurrent(this.store, addresses);
    if (current.isErr()) return false;
    const { records, version } = current.value;
    const found = new Map(records.map((record) => [record.key, record]));
    for (const address of addresses)
      this.apply(found.get(address.key) ?? { ...address, value: undefined, version });
    this.position = Math.max(this.position, version);
    this.isPartial = true;
    this.mayBeStale = false;
    this.recordAnswer(requestedAtMs);
    this.report(`known records read: the snapshot is stale at version ${staleVersion}`);
    return true;
  }

  /** Completes a table whose known records were read. A stale snapshot is ignored. */
  private async completeSnapshot(): Promise<void> {
    this.lastReadAtMs = monotonicMs();
    const read = await this.handler.readAll();
    if (read.isErr() || read.value.isStale || read.value.version < this.position) return;
    this.replaceAll(read.value.content, read.value.version);
    this.position = read.value.version;
    this.isPartial = false;
    this.report('snapshot read');
  }

  /** Returns when a new snapshot must be read. */
  private async followChanges(signal: AbortSignal): Promise<void> {
    let backoffMs = MIN_BACKOFF_MS;
    while (!signal.aborted) {
      const requestedAtMs = monotonicMs();
      const hasFailed = backoffMs > MIN_BACKOFF_MS;
      const waitMs = this.mayBeStale || hasFailed ? 0 : LONG_POLL_TIMEOUT_MS;
      const outcome = await this.store.changes(this.handler.table, this.position, waitMs, signal);
      if (outcome.isOk()) {
        backoffMs = MIN_BACKOFF_MS;
        await this.handleChanges(outcome.value, requestedAtMs, signal);
      } else if (this.needsSnapshot(outcome.error)) return;
      else {
        await sleep(withJitter(backoffMs), signal);
        backoffMs = nextBackoffMs(backoffMs);
      }
    }
  }

  private async handleChanges(
    { changes, version }: RecordChanges,
    requestedAtMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    this.mayBeStale = false;
    this.applyChanges(changes, version, requestedAtMs);
    if (this.isPartial && monotonicMs() - this.lastReadAtMs > SNAPSHOT_RETRY_INTERVAL_MS)
      await this.completeSnapshot();
    if (changes.length > 0) await this.pause(signal);
  }

  /** A refused position requires a new snapshot like a lost history; other failures are transient. */
  private needsSnapshot({ failure, message }: RecordStoreError): boolean {
    if (failure !== 'history-lost' && failure !== 'refused') return false;
    if (failure === 'history-lost') this.historyLostAt = this.position;
    this.report(`history lost: ${message}`);
    return true;
  }

  private applyChanges(changes: readonly ChangedRecord[], version: number, requestedAtMs: number): void {
    for (const change of changes) if (change.version > this.position) this.apply(change);
    this.position = Math.max(this.position, version);
    this.recordAnswer(requestedAtMs);
  }

  private apply(change: ChangedRecord): void {
    try {
      this.handler.apply(change);
    } catch (cause) {
      this.observer.failed?.(this.handler.table, change.key, problemOf(cause), change.version);
    }
  }

  private replaceAll(content: T, version: number): void {
    try {
      this.handler.replaceAll(content, version);
    } catch (cause) {
      this.reportFailures(cause, version);
    }
  }

  private reportFailures(cause: unknown, version: number): void {
    for (const { key, cause: failure } of failuresOf(cause))
      this.observer.failed?.(this.handler.table, key, problemOf(failure), version);
  }

  private recordAnswer(requestedAtMs: number): void {
    this.currentAsOfMs = requestedAtMs;
    this.handler.confirm?.(requestedAtMs);
    this.observer.answered?.(this.handler.table);
  }

  private report(change: string): void {
    this.observer.changed(this.handler.table, change, this.position);
  }
}

/** Varies a delay by half to either side, so that nodes do not call at the same time. */
function withJitter(backoffMs: number): number {
  return backoffMs * (0.5 + Math.random());
}

function problemOf(cause: unknown): string {
  return cause instanceof Error ? `${cause.name}: ${cause.message}` : String(cause);
}

function nextBackoffMs(backoffMs: number): number {
  return Math.min(MAX_BACKOFF_MS, backoffMs * 2);
}

/** Reads all records of one partition; a stale result is accepted only with `allowStale`. */
export async function readPartition(
  store: RecordStore,
  table: string,
  partition: string,
  allowStale = false,
): Promise<Result<TableContent<StoredRecord[]>, StateError>> {
  const range = await readRange(store, table, partition, undefined, undefined, allowStale);
  return range.map(({ records, version, isStale }) => ({ content: records, version, isStale }));
}
