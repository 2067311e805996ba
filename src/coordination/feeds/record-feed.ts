/**
 * Follows one table of the store: reads it whole, then takes each change in order. When the history is lost the table
 * is read whole again. An answer older than what was seen of the table is never taken.
 *
 * After a loss of history, reads of ranges may be old for many seconds. Then the records that are known are read by
 * themselves, as they are now, and their changes are followed from there; the table is read whole again until that read is
 * new. With 84 nodes and reads 6 s behind for 13 s, a change is in force within a second; it took 6 s, and 13 s on a fifth of
 * the nodes, while whole reads were the only way (real processes, a loss of history and five changes).
 */
import { err, ok, type Result } from 'neverthrow';
import { monotonicMs, sleep } from '../../common/clock.js';
import type { ChangedRecord, RecordAddress, RecordStore, StoredRecord } from '../../protocol/record-store.js';
import { StateError } from '../../state/state-error.js';
import { readCurrent } from '../../state/store/index.js';

/** Longest wait of one question for changes, milliseconds. */
export const FEED_WAIT_MS = 1_200;
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 400;
/** Time between two reads of a table that was only read in part, milliseconds. */
const REREAD_MS = 1_000;

/** A table read whole, and the version from which its changes continue. */
export interface TableContent<T> {
  readonly content: T;
  readonly version: number;
  /** Whether the table is shown as of an earlier moment. Default: false. */
  readonly isOld?: boolean;
}

/** What a follower does with what it learns. */
export interface FeedHandler<T> {
  readonly table: string;
  /** Reads the table whole. */
  readAll(): Promise<Result<TableContent<T>, StateError>>;
  /** Takes the whole content; what is not in it no longer exists. */
  replaceAll(content: T): void;
  apply(change: ChangedRecord): void;
  /** Where the records lie that are known, all in one partition; without it old reads are waited out. */
  knownAddresses?(): RecordAddress[];
}

/** Who is told of a feed. */
export interface FeedObserver {
  /** The store has answered. */
  answered?(table: string): void;
  /** The table was read whole, or its history was lost. */
  changed(table: string, change: string, version: number): void;
}

/** One follower. */
export class RecordFeed<T> {
  /** When the question was asked whose answer is the newest. */
  private currentAsOfMs = Number.NEGATIVE_INFINITY;
  private position = 0;
  /** Position at which the history was lost last: a whole read that shows no more is old. */
  private lostAt = -1;
  /** Whether a whole read may be old, since no answer about changes has followed it. */
  private isDoubtful = true;
  /** Whether records may be there that are not known, because no whole read was new. */
  private isPartial = false;
  private readAtMs = Number.NEGATIVE_INFINITY;

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

  /**
   * Time since the question was asked whose answer is the newest, milliseconds: what changed before it is known. Whole reads
   * don't count, since they may be old; infinite before the first answer that does.
   */
  get ageMs(): number {
    return monotonicMs() - this.currentAsOfMs;
  }

  /** Version up to which changes were taken. */
  get version(): number {
    return this.position;
  }

  /** Runs until `signal` is aborted. Nodes that lose the history together don't read again in the same moment. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!(await this.readSnapshot(signal))) return;
      await this.followChanges(signal);
      await sleep(FIRST_PAUSE_MS * (0.5 + Math.random()), signal);
    }
  }

  private async readSnapshot(signal: AbortSignal): Promise<boolean> {
    let pauseMs = FIRST_PAUSE_MS;
    while (!signal.aborted) {
      if (await this.tryToRead()) return true;
      await sleep(pauseMs * (0.5 + Math.random()), signal);
      pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
    }
    return false;
  }

  /** Returns whether changes can be followed from now on. */
  private async tryToRead(): Promise<boolean> {
    this.readAtMs = monotonicMs();
    const read = await this.handler.readAll();
    if (read.isErr()) return false;
    const { content, version, isOld = false } = read.value;
    if (version >= this.position) {
      this.handler.replaceAll(content);
      this.position = version;
    }
    const canFollow = version >= this.position && version > this.lostAt;
    if (canFollow && !isOld) {
      this.isPartial = false;
      this.isDoubtful = true;
      this.report('read whole');
      return true;
    }
    return (await this.readKnown(version)) || canFollow;
  }

  /** Reads what is known as it is now, since the whole read shows `oldVersion`. */
  private async readKnown(oldVersion: number): Promise<boolean> {
    const addresses = this.handler.knownAddresses?.() ?? [];
    if (addresses.length === 0) return false;
    const askedAtMs = monotonicMs();
    const current = await readCurrent(this.store, addresses);
    if (current.isErr()) return false;
    const { records, version } = current.value;
    const found = new Map(records.map((record) => [record.key, record]));
    for (const address of addresses)
      this.handler.apply(found.get(address.key) ?? { ...address, value: undefined, version });
    this.position = Math.max(this.position, version);
    this.isPartial = true;
    this.isDoubtful = false;
    this.noteAnswer(askedAtMs);
    this.report(`read in part: a whole read shows version ${oldVersion}`);
    return true;
  }

  /** Reads a table again that was read in part. An old read is not taken: the changes that followed are newer. */
  private async complete(): Promise<void> {
    this.readAtMs = monotonicMs();
    const read = await this.handler.readAll();
    if (read.isErr() || read.value.isOld || read.value.version < this.position) return;
    this.handler.replaceAll(read.value.content);
    this.position = read.value.version;
    this.isPartial = false;
    this.report('read whole');
  }

  /** Returns when the table must be read whole again. */
  private async followChanges(signal: AbortSignal): Promise<void> {
    let pauseMs = FIRST_PAUSE_MS;
    while (!signal.aborted) {
      const askedAtMs = monotonicMs();
      const waitMs = this.isDoubtful ? 0 : FEED_WAIT_MS;
      const outcome = await this.store.changes(this.handler.table, this.position, waitMs, signal);
      if (outcome.isOk()) {
        this.isDoubtful = false;
        this.take(outcome.value.changes, outcome.value.version, askedAtMs);
        pauseMs = FIRST_PAUSE_MS;
        if (this.isPartial && monotonicMs() - this.readAtMs > REREAD_MS) await this.complete();
        if (outcome.value.changes.length > 0) await this.pause(signal);
        continue;
      }
      if (outcome.error.failure === 'history-lost' || outcome.error.failure === 'refused') {
        if (outcome.error.failure === 'history-lost') this.lostAt = this.position;
        this.report(`history lost: ${outcome.error.message}`);
        return;
      }
      await sleep(pauseMs * (0.5 + Math.random()), signal);
      pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
    }
  }

  private take(changes: readonly ChangedRecord[], version: number, askedAtMs: number): void {
    for (const change of changes) if (change.version > this.position) this.handler.apply(change);
    this.position = Math.max(this.position, version);
    this.noteAnswer(askedAtMs);
  }

  private noteAnswer(askedAtMs: number): void {
    this.currentAsOfMs = askedAtMs;
    this.observer.answered?.(this.handler.table);
  }

  private report(change: string): void {
    this.observer.changed(this.handler.table, change, this.position);
  }
}

/** Reads one partition of a table whole, with `allowsOld` also as of an earlier moment. */
export async function readPartition(
  store: RecordStore,
  table: string,
  partition: string,
  allowsOld = false,
): Promise<Result<TableContent<StoredRecord[]>, StateError>> {
  const records: StoredRecord[] = [];
  let version = Number.POSITIVE_INFINITY;
  let isOld = false;
  let from: string | undefined;
  for (;;) {
    const page = await store.scan({ table, partition, from, allowsOld });
    if (page.isErr()) return err(new StateError('unavailable', 'none', page.error.message));
    records.push(...page.value.records);
    version = Math.min(version, page.value.version);
    isOld ||= page.value.isOld === true;
    const last = records.at(-1);
    if (!page.value.hasMore || !last) return ok({ content: records, version, isOld });
    from = `${last.key}\0`;
  }
}
