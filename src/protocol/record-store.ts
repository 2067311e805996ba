/**
 * Interface of the durable store: versioned records in tables and partitions, conditional transactions, a
 * change feed, and objects. An adapter implements `RecordStore` for the actual store.
 */
import type { Result } from 'neverthrow';

/** Keys are ordered by bytes within a partition of a table. */
export interface RecordAddress {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
}

/** A record as read. `version` is that of the transaction that wrote it, by a store-wide counter. */
export interface StoredRecord extends RecordAddress {
  readonly value: Buffer;
  readonly version: number;
}

/** Requires that the record has this version; 0 requires that it does not exist. */
export interface RecordCondition extends RecordAddress {
  readonly version: number;
}

export interface RecordWrite extends RecordAddress {
  readonly value: Buffer;
}

/** Executed atomically. */
export interface RecordTransaction {
  readonly conditions: readonly RecordCondition[];
  readonly writes: readonly RecordWrite[];
  readonly removals: readonly RecordAddress[];
}

/** A range of keys in one partition. */
export interface RecordRange {
  readonly table: string;
  readonly partition: string;
  /** Inclusive start. Default: the start of the partition. */
  readonly from?: string;
  /** Exclusive end. Default: the end of the partition. */
  readonly until?: string;
  /** Maximum number of records. Default: the store's limit. */
  readonly limit?: number;
  /** Accepts an answer older than an earlier one. Default: false, such a read fails as `stale`. */
  readonly allowStale?: boolean;
}

/** Consistent snapshot of a range. `version` is the newest of the whole store in that snapshot. */
export interface RecordPage {
  readonly records: readonly StoredRecord[];
  readonly hasMore: boolean;
  readonly version: number;
  /** Whether the process had a newer answer, for any table, before the call. Default: false. */
  readonly isStale?: boolean;
}

/** `value` is `undefined` if the record was removed. */
export interface ChangedRecord extends RecordAddress {
  readonly value: Buffer | undefined;
  readonly version: number;
}

/** Changes of a table in order. The next call continues after `version`. */
export interface RecordChanges {
  readonly changes: readonly ChangedRecord[];
  readonly version: number;
}

export type RecordStoreFailure =
  /** The store was unreachable or did not answer. */
  | 'unavailable'
  /** The rate limit was exceeded; nothing was executed. */
  | 'rate-limited'
  /** A condition did not hold; nothing was executed. */
  | 'conflict'
  /** The store no longer has the changes: read the whole table and continue from its version. */
  | 'history-lost'
  /** The answer is older than one that this process has already received. */
  | 'stale'
  /** The store rejects the call; a retry would fail as well. */
  | 'refused';

/** A failed call. `effect` is `none` only if it certainly was not and will not be executed. */
export class RecordStoreError extends Error {
  override readonly name = 'RecordStoreError';

  constructor(
    readonly failure: RecordStoreFailure,
    readonly effect: 'none' | 'unknown',
    message: string,
    /** For `conflict`: the current records of the conditions. */
    readonly current: readonly StoredRecord[] = [],
    /** For `conflict`: the newest version of the store at that time. */
    readonly currentVersion = 0,
  ) {
    super(message);
  }
}

export interface RecordStoreLimits {
  /** Maximum size of a record's value. */
  readonly recordBytes: number;
  /** Maximum size of an object. */
  readonly objectBytes: number;
}

/** The store's steady clock is between these times, milliseconds. */
export interface StoreClock {
  readonly earliestMs: number;
  readonly latestMs: number;
}

/** Client of the store. Never retries a call. */
export interface RecordStore {
  readonly limits: RecordStoreLimits;
  /** Resolves to the transaction's version. An abort drops the answer but may not stop the transaction. */
  transact(transaction: RecordTransaction, signal?: AbortSignal): Promise<Result<number, RecordStoreError>>;
  scan(range: RecordRange, signal?: AbortSignal): Promise<Result<RecordPage, RecordStoreError>>;
  /** Waits up to `waitMs` for changes of `table` after the version `after`. */
  changes(
    table: string,
    after: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<RecordChanges, RecordStoreError>>;
  putObject(name: string, bytes: Buffer): Promise<Result<void, RecordStoreError>>;
  /** Resolves to `undefined` if there is no such object. */
  getObject(name: string): Promise<Result<Buffer | undefined, RecordStoreError>>;
  /** Resolves to the names of all objects that start with `prefix`, in order. */
  listObjects(prefix: string): Promise<Result<string[], RecordStoreError>>;
  removeObject(name: string): Promise<Result<void, RecordStoreError>>;
  /** Current average latency of the store, milliseconds; 0 while unknown. */
  averageLatencyMs(): number;
  /** Whether the store answers this process; false if no call was answered for some time. */
  isAnswering(): boolean;
  /** The store's steady clock, milliseconds, estimated from its newest answer. */
  nowMs(): number;
  /** Bounds of the store's clock now; `undefined` until the store has told its time. */
  clock(): StoreClock | undefined;
}
