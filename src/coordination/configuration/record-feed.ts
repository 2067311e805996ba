/**
 * Follows one table of the store: reads it whole, then takes each change in order. When the history is lost the table
 * is read whole again. An answer older than what was seen is never taken.
 */
import { err, ok, type Result } from 'neverthrow';
import { monotonicMs, sleep } from '../../common/clock.js';
import type { ChangedRecord, RecordStore, StoredRecord } from '../../protocol/record-store.js';
import { StateError } from '../../state/state-error.js';

/** Longest wait of one question for changes, milliseconds. */
const WAIT_MS = 1_200;
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 400;

/** A table read whole, and the version from which its changes continue. */
export interface TableContent<T> {
  readonly content: T;
  readonly version: number;
}

/** What a follower does with what it learns. */
export interface FeedHandler<T> {
  readonly table: string;
  /** Reads the table whole. */
  readAll(): Promise<Result<TableContent<T>, StateError>>;
  /** Takes the whole content; what is not in it no longer exists. */
  replaceAll(content: T): void;
  apply(change: ChangedRecord): void;
}

/** Who is told of a feed. */
export interface FeedObserver {
  /** The store has answered. */
  answered(table: string): void;
  /** The table was read whole, or its history was lost. */
  changed(table: string, change: string, version: number): void;
}

/** One follower. */
export class RecordFeed<T> {
  private answeredAtMs = Number.NEGATIVE_INFINITY;
  private position = 0;

  constructor(
    private readonly store: RecordStore,
    private readonly handler: FeedHandler<T>,
    private readonly observer: FeedObserver,
    /** Resolves when changes may be asked for again after some were taken. Default: at once. */
    private readonly pause: (signal: AbortSignal) => Promise<void> = () => Promise.resolve(),
  ) {}

  get table(): string {
    return this.handler.table;
  }

  /** Time since the last answer, milliseconds. */
  get ageMs(): number {
    return monotonicMs() - this.answeredAtMs;
  }

  /** Version up to which changes were taken. */
  get version(): number {
    return this.position;
  }

  /** Runs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!(await this.readWhole(signal))) return;
      await this.followChanges(signal);
    }
  }

  private async readWhole(signal: AbortSignal): Promise<boolean> {
    let pauseMs = FIRST_PAUSE_MS;
    while (!signal.aborted) {
      const read = await this.handler.readAll();
      if (read.isOk() && read.value.version >= this.position) {
        this.handler.replaceAll(read.value.content);
        this.position = read.value.version;
        this.noteAnswer();
        this.report('read whole');
        return true;
      }
      await sleep(pauseMs * (0.5 + Math.random()), signal);
      pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
    }
    return false;
  }

  /** Returns when the table must be read whole again. */
  private async followChanges(signal: AbortSignal): Promise<void> {
    let pauseMs = FIRST_PAUSE_MS;
    while (!signal.aborted) {
      const outcome = await this.store.changes(this.handler.table, this.position, WAIT_MS, signal);
      if (outcome.isOk()) {
        this.take(outcome.value.changes, outcome.value.version);
        pauseMs = FIRST_PAUSE_MS;
        if (outcome.value.changes.length > 0) await this.pause(signal);
        continue;
      }
      if (outcome.error.failure === 'history-lost' || outcome.error.failure === 'refused') {
        this.report(`history lost: ${outcome.error.message}`);
        return;
      }
      await sleep(pauseMs * (0.5 + Math.random()), signal);
      pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
    }
  }

  private take(changes: readonly ChangedRecord[], version: number): void {
    for (const change of changes) if (change.version > this.position) this.handler.apply(change);
    this.position = Math.max(this.position, version);
    this.noteAnswer();
  }

  private noteAnswer(): void {
    this.answeredAtMs = monotonicMs();
    this.observer.answered(this.handler.table);
  }

  private report(change: string): void {
    this.observer.changed(this.handler.table, change, this.position);
  }
}

/** Reads one partition of a table whole. */
export async function readPartition(
  store: RecordStore,
  table: string,
  partition: string,
): Promise<Result<TableContent<StoredRecord[]>, StateError>> {
  const records: StoredRecord[] = [];
  let version = Number.POSITIVE_INFINITY;
  let from: string | undefined;
  for (;;) {
    const page = await store.scan({ table, partition, from });
    if (page.isErr()) return err(new StateError('unavailable', 'none', page.error.message));
    records.push(...page.value.records);
    version = Math.min(version, page.value.version);
    const last = records.at(-1);
    if (!page.value.hasMore || !last) return ok({ content: records, version });
    from = `${last.key}\0`;
  }
}
