/** The store in memory, behind the interfaces of the state layer, with seeded faults. */
import { err, ok, type Result } from 'neverthrow';
import { type Row, RowStore, type Transaction } from '../../emulator/store/row-store.js';
import { createLogger } from '../../src/common/logging.js';
import { Metrics } from '../../src/common/metrics.js';
import type { Random } from '../../src/common/random.js';
import {
  type RecordChanges,
  type RecordPage,
  type RecordRange,
  type RecordStore,
  RecordStoreError,
  type RecordTransaction,
  type StoredRecord,
} from '../../src/protocol/record-store.js';
import { RowTable } from '../../src/state/resource/tables/row-table.js';
import type { Objects } from '../../src/state/resource/tables/stored-objects.js';
import type { StateError } from '../../src/state/state-error.js';

const down = () => new RecordStoreError('unavailable', 'none', 'injected: not reached');
const lost = () => new RecordStoreError('unavailable', 'unknown', 'injected: answer lost');

/** A row of the stand-in as a record. */
export function toStoredRecord({ table, part, key, value = '', ver }: Row): StoredRecord {
  return { table, partition: part, key, value: Buffer.from(value, 'base64'), version: ver };
}

/** A transaction as the stand-in takes it. */
export function toRows({ conditions, writes, removals }: RecordTransaction): Transaction {
  return {
    expected: conditions.map(({ table, partition, key, version }) => ({
      table,
      part: partition,
      key,
      ver: version,
    })),
    put: writes.map(({ table, partition, key, value }) => ({
      table,
      part: partition,
      key,
      value: value.toString('base64'),
    })),
    remove: removals.map(({ table, partition, key }) => ({ table, part: partition, key })),
  };
}

/** Turns of the event loop's microtasks that a call takes at most. */
const MAX_TURNS = 24;
/** No limit that a test could reach. */
const CALLS_PER_SECOND = 1e9;

/** A store whose calls fail at random, before or after they took effect. */
export class FaultyStore implements RecordStore {
  readonly limits = { recordBytes: 65_536, objectBytes: 8_388_608 };
  readonly rows = new RowStore();
  /** Share of calls that fail. */
  faultShare = 0;

  constructor(private readonly random: Random) {}

  async transact(transaction: RecordTransaction): Promise<Result<number, RecordStoreError>> {
    await this.travel();
    if (this.fails()) return err(down());
    const outcome = this.rows.transact(toRows(transaction));
    if (this.fails()) return err(lost());
    if ('ver' in outcome) return ok(outcome.ver);
    const current = outcome.rows.map(toStoredRecord);
    const { version } = this.rows;
    return err(new RecordStoreError('conflict', 'none', 'a condition did not hold', current, version));
  }

  async scan(range: RecordRange): Promise<Result<RecordPage, RecordStoreError>> {
    await this.travel();
    if (this.fails()) return err(down());
    const found = this.rows.scan(range.table, range.partition, range.from ?? '', range.until);
    const limit = range.limit ?? found.length;
    const records: StoredRecord[] = found.slice(0, limit).map(toStoredRecord);
    return ok({ records, hasMore: found.length > limit, version: this.rows.version });
  }

  async changes(): Promise<Result<RecordChanges, RecordStoreError>> {
    return err(new RecordStoreError('history-lost', 'none', 'not kept here'));
  }

  async putObject(): Promise<Result<void, RecordStoreError>> {
    return err(down());
  }

  async getObject(): Promise<Result<Buffer | undefined, RecordStoreError>> {
    return err(down());
  }

  async listObjects(): Promise<Result<string[], RecordStoreError>> {
    return err(down());
  }

  async removeObject(): Promise<Result<void, RecordStoreError>> {
    return err(down());
  }

  averageLatencyMs(): number {
    return 0;
  }

  isAnswering(): boolean {
    return true;
  }

  nowMs(): number {
    return 0;
  }

  clock(): undefined {
    return undefined;
  }

  /** A call takes a random number of turns, so that calls of concurrent operations interleave. */
  private async travel(): Promise<void> {
    for (let turns = this.random.integer(MAX_TURNS); turns > 0; turns -= 1) await Promise.resolve();
  }

  private fails(): boolean {
    return this.random.fraction() < this.faultShare;
  }
}

/** A client's rows over a store; each client remembers versions of its own. */
export function rowsOver(store: RecordStore): RowTable {
  const observer = { logger: createLogger({}), metrics: new Metrics(false) };
  return new RowTable(store, observer, CALLS_PER_SECOND);
}

/** Objects in memory. */
export class MemoryObjects implements Objects {
  private readonly stored = new Map<string, Buffer>();

  async put(name: string, bytes: Buffer): Promise<Result<void, StateError>> {
    this.stored.set(name, bytes);
    return ok(undefined);
  }

  async get(name: string): Promise<Result<Buffer | undefined, StateError>> {
    return ok(this.stored.get(name));
  }

  async list(prefix: string): Promise<Result<string[], StateError>> {
    return ok([...this.stored.keys()].filter((name) => name.startsWith(prefix)).sort());
  }
}
