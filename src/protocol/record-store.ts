/**
 * The store in which everything durable lives, as the product sees it: versioned records in tables and
 * partitions, conditional transactions, a feed of changes, and objects. An adapter implements `RecordStore`
 * for the actual store.
 */
import type { Result } from 'neverthrow';

/** Where a record lies. Keys sort by bytes within one partition of one table. */
export interface RecordAddress {
  readonly table: string;
  readonly partition: string;
  readonly key: string;
}

/** A record as read. `version` comes from one counter that rises with each transaction of the store. */
export interface StoredRecord extends RecordAddress {
  readonly value: Buffer;
  readonly version: number;
}

/** A condition of a transaction: the record has this version; 0 means that it is absent. */
export interface RecordCondition extends RecordAddress {
  readonly version: number;
}

/** A record to write. */
export interface RecordWrite extends RecordAddress {
  readonly value: Buffer;
}

/** Executed whole or not at all. */
export interface RecordTransaction {
  readonly conditions: readonly RecordCondition[];
  readonly writes: readonly RecordWrite[];
  readonly removals: readonly RecordAddress[];
}

/** A range of keys of one partition. */
export interface RecordRange {
  readonly table: string;
  readonly partition: string;
  /** First key, included. Default: the first of the partition. */
  readonly from?: string;
  /** End of the range, excluded. Default: the end of the partition. */
  readonly until?: string;
  /** Most records to return. Default: the store's own limit. */
  readonly limit?: number;
  /** Accepts an answer older than one before the call. Default: such a read fails as `stale`. */
  readonly allowStale?: boolean;
}

/** Records of a range as of one moment. `version` is the newest of the whole store at that moment. */
export interface RecordPage {
  readonly records: readonly StoredRecord[];
  readonly hasMore: boolean;
  readonly version: number;
  /** Whether the process had a newer answer, about any table, before the call. Default: false. */
  readonly isStale?: boolean;
}

/** A record that has changed; `value` is `undefined` when it was removed. */
export interface ChangedRecord extends RecordAddress {
  readonly value: Buffer | undefined;
  readonly version: number;
}

/** Changes of one table in order; the next call continues after `version`. */
export interface RecordChanges {
  readonly changes: readonly ChangedRecord[];
  readonly version: number;
}

/** How a call of the store failed. */
export type RecordStoreFailure =
  /** The store did not answer, or was unreachable. */
  | 'unavailable'
  /** Over the rate; nothing was done. */
  | 'rate-limited'
  /** A condition did not hold; nothing was done. */
  | 'conflict'
  /** The changes are no longer kept: read the table whole and continue from there. */
  | 'history-lost'
  /** The answer is older than one that this process has already had. */
  | 'stale'
  /** The store does not accept the call; a repeat would fail in the same way. */
  | 'refused';

/** A failed call. `effect` is `none` only when it is certain that nothing was done and nothing will be. */
export class RecordStoreError extends Error {
  override readonly name = 'RecordStoreError';

  constructor(
    readonly failure: RecordStoreFailure,
    readonly effect: 'none' | 'unknown',
    message: string,
    /** With `conflict`: the records named in the conditions, as they are. */
    readonly current: readonly StoredRecord[] = [],
    /** With `conflict`: the newest version of the store at that moment. */
    readonly currentVersion = 0,
  ) {
    super(message);
  }
}

/** Limits of the store. */
export interface RecordStoreLimits {
  /** Largest value of a record, bytes. */
  readonly recordBytes: number;
  /** Largest object, bytes. */
  readonly objectBytes: number;
}

/** Client of the store. It never repeats a call. */
export interface RecordStore {
  readonly limits: RecordStoreLimits;
  /** Resolves to the transaction's version. An abort abandons the answer, not the transaction. */
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
  /** Resolves to `undefined` when there is no such object. */
  getObject(name: string): Promise<Result<Buffer | undefined, RecordStoreError>>;
  /** Names of all objects that start with `prefix`, in order. */
  listObjects(prefix: string): Promise<Result<string[], RecordStoreError>>;
  removeObject(name: string): Promise<Result<void, RecordStoreError>>;
  /** How long an answer usually takes now, milliseconds; 0 while unknown. */
  averageLatencyMs(): number;
  /** Whether the store answers this process; false when no call was served for some time. */
  isAnswering(): boolean;
  /** The store's steady clock, milliseconds, estimated from its newest answer. */
  nowMs(): number;
}
