/**
 * Follows one table of the store: reads it whole, then applies each change in order. When the store has lost
 * the history of changes the table is read whole again. An answer older than what was seen of the table is
 * never applied.
 *
 * Owns: the position up to which changes are applied. Relies on: scans and long polls of the store; failed
 * calls are repeated with back-off until `signal` is aborted.
 *
 * After a loss of history, scans may be old for many seconds. Then the known records are read individually,
 * as they are now, and changes are followed from there; whole reads are repeated until one is new. With 84
 * nodes and scans 6 s behind for 13 s, a change is in force within a second; with whole reads alone it took 6
 * s, and 13 s on a fifth of the nodes (real processes, one loss of history and five changes).
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

/**
 * Longest wait of one long poll, milliseconds. Chosen, not measured: it bounds a quiet feed's age and its
 * rate of calls.
 */
export const LONG_POLL_TIMEOUT_MS = 1_200;
/** Back-off after failed calls, doubled each time and spread by half. Chosen, not measured. */
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 400;
/** Time between two whole reads of a table that was read in part, milliseconds. Chosen, not measured. */
const SNAPSHOT_RETRY_INTERVAL_MS = 1_000;

/** A table read whole, and the version from which its changes continue. */
export interface TableContent<T> {
  readonly content: T;
  readonly version: number;
  /** Whether the table is shown as of an earlier moment. Default: false. */
  readonly isStale?: boolean;
}

/** What a follower does with the records. */
export interface FeedHandler<T> {
  readonly table: string;
  /** Reads the table whole. */
  readAll(): Promise<Result<TableContent<T>, StateError>>;
  /** Replaces all records; what is not in the content no longer exists. */
  replaceAll(content: T): void;
  apply(change: ChangedRecord): void;
  /** Addresses of known records, all in one partition; without it the feed waits for new whole reads. */
  knownAddresses?(): RecordAddress[];
}

/** Observes a feed. */
export interface FeedObserver {
  /** The store has answered about changes. */
  answered?(table: string): void;
  /** The table was read whole, or its history was lost. */
  changed(table: string, change: string, version: number): void;
}

/** One follower. */
export class RecordFeed<T> {
  /** Start of the newest answered call about changes, on the monotonic clock. */
  private currentAsOfMs = Number.NEGATIVE_INFINITY;
  private position = 0;
  /** Position at the last loss of history: a whole read that shows no more is old. */
  private historyLostAt = -1;
  /** Whether the last whole read may be old, since no answer about changes has followed it. */
  private mayBeStale = true;
  /** Whether there may be unknown records, because no whole read was new. */
  private isPartial = false;
  private lastReadAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly store: RecordStore,
    private readonly handler: FeedHandler<T>,
    private readonly observer: FeedObserver,
    /** Resolves when the next long poll may start after changes were applied. Default: at once. */
    private readonly pause: (signal: AbortSignal) => Promise<void> = () => Promise.resolve(),
  ) {}

  get table(): string {
    return this.handler.table;
  }

  /**
   * Time since the start of the newest answered call about changes, milliseconds: all earlier changes are
   * applied. Whole reads do not count, since they may be old; infinite before the first answer that counts.
   */
  get ageMs(): number {
    return monotonicMs() - this.currentAsOfMs;
  }

  /** Runs until `signal` is aborted. Nodes that lose the history together read again at spread times. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!(await this.readSnapshot(signal))) return;
      await this.followChanges(signal);
      await sleep(withJitter(MIN_BACKOFF_MS), signal);
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

  /** Returns whether changes can be followed from now on. */
  private async tryReadSnapshot(): Promise<boolean> {
    this.lastReadAtMs = monotonicMs();
    const read = await this.handler.readAll();
    if (read.isErr()) return false;
    const { content, version, isStale = false } = read.value;
    if (version >= this.position) {
      this.handler.replaceAll(content);
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

  /** Reads the known records as they are now, since the whole read shows `oldVersion`. */
  private async readKnownRecords(staleVersion: number): Promise<boolean> {
    const addresses = this.handler.knownAddresses?.() ?? [];
    if (addresses.length === 0) return false;
    const requestedAtMs = monotonicMs();
    const current = await readCurrent(this.store, addresses);
    if (current.isErr()) return false;
    const { records, version } = current.value;
    const found = new Map(records.map((record) => [record.key, record]));
    for (const address of addresses)
      this.handler.apply(found.get(address.key) ?? { ...address, value: undefined, version });
    this.position = Math.max(this.position, version);
    this.isPartial = true;
    this.mayBeStale = false;
    this.recordAnswer(requestedAtMs);
    this.report(`read in part: a whole read shows version ${staleVersion}`);
    return true;
  }

  /** Reads a table whole that was read in part. An old read is dropped: changes applied since are newer. */
  private async completeSnapshot(): Promise<void> {
    this.lastReadAtMs = monotonicMs();
    const read = await this.handler.readAll();
    if (read.isErr() || read.value.isStale || read.value.version < this.position) return;
    this.handler.replaceAll(read.value.content);
    this.position = read.value.version;
    this.isPartial = false;
    this.report('snapshot read');
  }

  /** Returns when the table must be read whole again. */
  private async followChanges(signal: AbortSignal): Promise<void> {
    let backoffMs = MIN_BACKOFF_MS;
    while (!signal.aborted) {
      const requestedAtMs = monotonicMs();
      const waitMs = this.mayBeStale ? 0 : LONG_POLL_TIMEOUT_MS;
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

  /** A refused position is dropped like one whose history is lost; any other failure is transient. */
  private needsSnapshot({ failure, message }: RecordStoreError): boolean {
    if (failure !== 'history-lost' && failure !== 'refused') return false;
    if (failure === 'history-lost') this.historyLostAt = this.position;
    this.report(`history lost: ${message}`);
    return true;
  }

  private applyChanges(changes: readonly ChangedRecord[], version: number, requestedAtMs: number): void {
    for (const change of changes) if (change.version > this.position) this.handler.apply(change);
    this.position = Math.max(this.position, version);
    this.recordAnswer(requestedAtMs);
  }

  private recordAnswer(requestedAtMs: number): void {
    this.currentAsOfMs = requestedAtMs;
    this.observer.answered?.(this.handler.table);
  }

  private report(change: string): void {
    this.observer.changed(this.handler.table, change, this.position);
  }
}

/** Spread by half around its length, so that nodes do not call together. */
function withJitter(backoffMs: number): number {
  return backoffMs * (0.5 + Math.random());
}

function nextBackoffMs(backoffMs: number): number {
  return Math.min(MAX_BACKOFF_MS, backoffMs * 2);
}

/** Reads one partition of a table whole, with `allowsOld` also as of an earlier moment. */
export async function readPartition(
  store: RecordStore,
  table: string,
  partition: string,
  allowStale = false,
): Promise<Result<TableContent<StoredRecord[]>, StateError>> {
  const range = await readRange(store, table, partition, undefined, undefined, allowStale);
  return range.map(({ records, version, isStale }) => ({ content: records, version, isStale: isStale }));
}
