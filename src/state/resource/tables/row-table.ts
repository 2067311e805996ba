/**
 * Rows of JSON values on top of the record store. Each row has its own version, incremented by each write; 0
 * means that the row is absent. Calls are limited to the node's share of the store's request rate, counted in
 * the metrics, and drive a lifecycle of the store's health. Configuration rows have a separate table, so that
 * their changes can be watched alone.
 */
import { err, ok, type Result } from 'neverthrow';
import { monotonicMs, sleep } from '../../../common/clock.js';
import { Lifecycle, type LifecycleObserver } from '../../../common/lifecycle.js';
import { TokenBucket } from '../../../common/token-bucket.js';
import type {
  RecordAddress,
  RecordStore,
  RecordStoreError,
  StoredRecord,
} from '../../../protocol/record-store.js';
import { StateError } from '../../state-error.js';

export type StateResult<T> = Promise<Result<T, StateError>>;

export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: unknown;
}

/** Writes that are applied only if all conditions hold. A null value deletes the row. */
export interface Transaction {
  readonly conditions: { readonly key: string; readonly version: number }[];
  readonly writes: { readonly key: string; readonly value: unknown }[];
}

export interface TransactionOutcome {
  readonly committed: boolean;
  /** Keys whose condition failed. */
  readonly failed: readonly string[];
}

export interface Table {
  transact(transaction: Transaction): StateResult<TransactionOutcome>;
  /** Absent rows are omitted. */
  read(keys: readonly string[]): StateResult<Row[]>;
  /** Rows whose key starts with `prefix`, in key order; `after` is an exclusive lower bound. */
  scan(prefix: string, limit: number, after?: string): StateResult<Row[]>;
}

export const CONFIGURATION_TABLE = 'configuration';
const DEFAULT_TABLE = 'rows';
const CONFIGURATION_PREFIX = 'config/';
/** Sorts after every character used in keys. */
const HIGHEST_KEY_SUFFIX = '\u{10ffff}';

function rowAddress(key: string): RecordAddress {
  const table = key.startsWith(CONFIGURATION_PREFIX) ? CONFIGURATION_TABLE : DEFAULT_TABLE;
  return { table, partition: '', key };
}

interface StoredValue {
  /** Version of the row. */
  readonly v: number;
  /** Value of the row. */
  readonly d: unknown;
}

/** Version of the row and version of the record that stores it. */
interface VersionPair {
  readonly own: number;
  readonly store: number;
}

const ABSENT: VersionPair = { own: 0, store: 0 };

type Health = 'available' | 'slow' | 'down';
type HealthEvent = 'answered' | 'answeredLate' | 'failed';

const TRANSITIONS = {
  available: { answeredLate: 'slow', failed: 'down' },
  slow: { answered: 'available', failed: 'down' },
  down: { answered: 'available', answeredLate: 'slow' },
} as const;

/** Duration above which a call counts as slow, milliseconds. */
const SLOW_CALL_MS = 500;
/** Longest wait for the rate limit, milliseconds. */
const MAX_RATE_WAIT_MS = 2_000;
/** Capacity of the token bucket, calls. */
const BURST_CALLS = 64;
const MAX_CACHED_VERSIONS = 20_000;

export class RowTable implements Table {
  private readonly bucket: TokenBucket;
  private readonly health: Lifecycle<Health, HealthEvent>;
  /** Version cache. A stale entry only costs a failed condition and another read. */
  private readonly versions = new Map<string, VersionPair>();

  constructor(
    private readonly store: RecordStore,
    private readonly observer: LifecycleObserver,
    callsPerSecond: number,
  ) {
    this.bucket = new TokenBucket(callsPerSecond, BURST_CALLS);
    this.health = new Lifecycle<Health, HealthEvent>('store', 'store', 'available', TRANSITIONS, observer);
  }

  async transact(transaction: Transaction): StateResult<TransactionOutcome> {
    const keys = [...new Set([...transaction.conditions, ...transaction.writes].map((one) => one.key))];
    const known = await this.loadVersions(keys);
    if (known.isErr()) return err(known.error);
    const failed = transaction.conditions.filter((one) => this.versionOf(one.key).own !== one.version);
    if (failed.length > 0) return this.verifyFailure(transaction);
    const before = new Map(keys.map((key) => [key, this.versionOf(key)]));
    const outcome = await this.withRateLimit('transact', () =>
      this.store.transact(this.toRecords(transaction, before)),
    );
    if (outcome.isOk()) {
      this.cacheWrites(transaction, before, outcome.value);
      return ok({ committed: true, failed: [] });
    }
    for (const key of keys) this.versions.delete(key);
    if (outcome.error.failure !== 'conflict') return err(toStateError(outcome.error));
    return this.verifyFailure(transaction);
  }

  async read(keys: readonly string[]): StateResult<Row[]> {
    const found = await Promise.all(keys.map((key) => this.readOne(key)));
    const rows: Row[] = [];
    for (const row of found) {
      if (row.isErr()) return err(row.error);
      if (row.value) rows.push(row.value);
    }
    return ok(rows);
  }

  async scan(prefix: string, limit: number, after?: string): StateResult<Row[]> {
    const range = { ...rowAddress(prefix), until: `${prefix}${HIGHEST_KEY_SUFFIX}` };
    const rows: Row[] = [];
    let from = after === undefined ? prefix : `${after}\0`;
    while (rows.length < limit) {
      const request = { ...range, from, limit: limit - rows.length };
      const page = await this.withRateLimit('scan', () => this.store.scan(request));
      if (page.isErr()) return err(toStateError(page.error));
      rows.push(...page.value.records.map((record) => this.toRow(record)));
      const last = rows.at(-1);
      if (!page.value.hasMore || !last) break;
      from = `${last.key}\0`;
    }
    return ok(rows);
  }

  private async readOne(key: string): StateResult<Row | undefined> {
    const range = { ...rowAddress(key), from: key, until: `${key}\0`, limit: 1 };
    const page = await this.withRateLimit('read', () => this.store.scan(range));
    if (page.isErr()) return err(toStateError(page.error));
    const [record] = page.value.records;
    if (record) return ok(this.toRow(record));
    this.cacheVersion(key, ABSENT);
    return ok(undefined);
  }

  private toRow(record: StoredRecord): Row {
    const { v, d } = JSON.parse(record.value.toString('utf8')) as StoredValue;
    this.cacheVersion(record.key, { own: v, store: record.version });
    return { key: record.key, version: v, value: d };
  }

  /** Reads the rows whose versions are not cached. */
  private async loadVersions(keys: readonly string[]): StateResult<void> {
    const unknown = keys.filter((key) => !this.versions.has(key));
    const read = await this.read(unknown);
    return read.map(() => undefined);
  }

  /** Reads the rows of a failed transaction again, since the cache may be stale, and repeats it if so. */
  private async verifyFailure(transaction: Transaction): StateResult<TransactionOutcome> {
    const read = await this.read([...new Set(transaction.conditions.map((one) => one.key))]);
    if (read.isErr()) return err(read.error);
    const failed = transaction.conditions.filter((one) => this.versionOf(one.key).own !== one.version);
    if (failed.length > 0) return ok({ committed: false, failed: failed.map((one) => one.key) });
    return this.transact(transaction);
  }

  private toRecords(transaction: Transaction, before: ReadonlyMap<string, VersionPair>) {
    const writes = transaction.writes.filter((one) => !isRemoval(one.value));
    const conditionKeys = [...new Set(transaction.conditions.map((one) => one.key))];
    return {
      conditions: conditionKeys.map((key) => ({ ...rowAddress(key), version: before.get(key)?.store ?? 0 })),
      writes: writes.map(({ key, value }) => ({
        ...rowAddress(key),
        value: Buffer.from(JSON.stringify({ v: (before.get(key)?.own ?? 0) + 1, d: value }), 'utf8'),
      })),
      removals: transaction.writes.filter((one) => isRemoval(one.value)).map((one) => rowAddress(one.key)),
    };
  }

  private cacheWrites(
    transaction: Transaction,
    before: ReadonlyMap<string, VersionPair>,
    store: number,
  ): void {
    for (const { key, value } of transaction.writes)
      this.cacheVersion(key, isRemoval(value) ? ABSENT : { own: (before.get(key)?.own ?? 0) + 1, store });
  }

  private versionOf(key: string): VersionPair {
    return this.versions.get(key) ?? ABSENT;
  }

  private cacheVersion(key: string, version: VersionPair): void {
    if (this.versions.size >= MAX_CACHED_VERSIONS) this.versions.clear();
    this.versions.set(key, version);
  }

  private async withRateLimit<T>(
    operation: string,
    call: () => Promise<Result<T, RecordStoreError>>,
  ): Promise<Result<T, RecordStoreError | StateError>> {
    const waitMs = await this.awaitToken();
    if (waitMs > 0) {
      this.observer.metrics.platformCalls.inc({ operation, outcome: 'over-budget' });
      return err(new StateError('rate-limited', 'none', 'store rate limit of this node exceeded', waitMs));
    }
    const startedAt = monotonicMs();
    const answer = await call();
    const outcome = answer.isOk() ? 'ok' : answer.error.failure;
    this.observer.metrics.platformCalls.inc({ operation, outcome });
    this.updateHealth(answer, monotonicMs() - startedAt);
    return answer;
  }

  /** Waits for a token; returns 0, or the remaining wait in milliseconds if that exceeds the limit. */
  private async awaitToken(): Promise<number> {
    const deadline = monotonicMs() + MAX_RATE_WAIT_MS;
    for (;;) {
      const waitMs = this.bucket.take();
      if (waitMs === 0) return 0;
      if (monotonicMs() + waitMs > deadline) return waitMs;
      await sleep(waitMs);
    }
  }

  private updateHealth(answer: Result<unknown, RecordStoreError>, tookMs: number): void {
    const isDown = answer.isErr() && answer.error.failure === 'unavailable';
    if (isDown) this.health.sendIfAccepted('failed', answer.error.message);
    else this.health.sendIfAccepted(tookMs > SLOW_CALL_MS ? 'answeredLate' : 'answered');
  }
}

function isRemoval(value: unknown): boolean {
  return value === null || value === undefined;
}

export function toStateError(error: RecordStoreError | StateError): StateError {
  if (error instanceof StateError) return error;
  if (error.failure === 'rate-limited') return new StateError('rate-limited', 'none', error.message);
  if (error.failure === 'refused') return new StateError('invalid', 'none', error.message);
  return new StateError('unavailable', error.effect, error.message);
}

/** Reads all rows under a prefix, page by page. */
export async function scanAll(table: Table, prefix: string): StateResult<Row[]> {
  const pageSize = 500;
  const all: Row[] = [];
  for (;;) {
    const page = await table.scan(prefix, pageSize, all.at(-1)?.key);
    if (page.isErr()) return page;
    all.push(...page.value);
    if (page.value.length < pageSize) return page.map(() => all);
  }
}
