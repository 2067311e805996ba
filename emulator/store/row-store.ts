/**
 * Rows of the stand-in of the platform's store: one counter of versions, transactions, a history for feeds,
 * and reads as of an earlier moment.
 */
import { monotonicMs } from '../../src/common/clock.js';

/** Where a row lies. */
export interface RowAddress {
  readonly table: string;
  readonly part?: string;
  readonly key: string;
}

/** A row as the wire shows it. */
export interface Row extends RowAddress {
  readonly part: string;
  readonly value?: string;
  readonly ver: number;
  readonly gone?: boolean;
}

/** A transaction as the wire shows it. */
export interface Transaction {
  readonly expected?: readonly (RowAddress & { readonly ver: number })[];
  readonly put?: readonly (RowAddress & { readonly value: string })[];
  readonly remove?: readonly RowAddress[];
}

/** The outcome: done with a version, or the rows of the conditions as they are. */
export type TransactionResult = { readonly ver: number } | { readonly rows: readonly Row[] };

/** Rows of a range, and the version of the newest transaction at the moment that they show. */
export interface RowPage {
  readonly rows: readonly Row[];
  readonly version: number;
}

/** The row before a change. */
interface PastRow {
  readonly address: RowAddress;
  /** `undefined` when the row was not there. */
  readonly before: Row | undefined;
  /** Version of the change. */
  readonly version: number;
  readonly atMs: number;
}

/** Longest time that reads can be behind, milliseconds. */
const LONGEST_PAST_MS = 30_000;
const SEPARATOR = '\u0000';

/** Rows of one part of a table, by key. */
type Part = Map<string, Row>;

function partOf({ table, part = '' }: Pick<RowAddress, 'table' | 'part'>): string {
  return table + SEPARATOR + part;
}

/** The rows. */
export class RowStore {
  private readonly parts = new Map<string, Part>();
  /** Oldest first. */
  private readonly past: PastRow[] = [];
  private readonly history: Row[] = [];
  private historyStart = 0;
  private counter = 0;
  /** By table. */
  private readonly listeners = new Map<string, Set<() => void>>();

  /** Version of the newest transaction. */
  get version(): number {
    return this.counter;
  }

  /** Carries out a transaction whole or not at all. */
  transact(transaction: Transaction): TransactionResult {
    const expected = transaction.expected ?? [];
    const holds = expected.every((condition) => (this.find(condition)?.ver ?? 0) === condition.ver);
    if (!holds) return { rows: expected.flatMap((condition) => this.find(condition) ?? []) };
    this.counter += 1;
    for (const { table, part = '', key, value } of transaction.put ?? [])
      this.change({ table, part, key, value, ver: this.counter });
    for (const { table, part = '', key } of transaction.remove ?? [])
      this.change({ table, part, key, ver: this.counter, gone: true });
    const changed = [...(transaction.put ?? []), ...(transaction.remove ?? [])];
    for (const table of new Set(changed.map((address) => address.table))) this.notify(table);
    return { ver: this.counter };
  }

  /** Writes one JSON value without a condition. */
  put(table: string, key: string, value: unknown, part = ''): number {
    const encoded = Buffer.from(JSON.stringify(value), 'utf8').toString('base64');
    this.transact({ put: [{ table, part, key, value: encoded }] });
    return this.counter;
  }

  /** Removes one row. */
  remove(table: string, key: string, part = ''): void {
    this.transact({ remove: [{ table, part, key }] });
  }

  /** The JSON value of a row. */
  read<T>(table: string, key: string, part = ''): T | undefined {
    const row = this.find({ table, part, key });
    return row && (JSON.parse(Buffer.from(row.value ?? '', 'base64').toString('utf8')) as T);
  }

  /** Rows of a range in the order of their keys. */
  scan(table: string, part: string, from: string, until: string | undefined): Row[] {
    return inRange(this.part({ table, part }), from, until);
  }

  /** Rows of a range as they were `behindMs` milliseconds ago. */
  scanPast(table: string, part: string, from: string, until: string | undefined, behindMs: number): RowPage {
    const momentMs = monotonicMs() - behindMs;
    const rows = new Map(this.part({ table, part }));
    let { version } = this;
    for (let at = this.past.length - 1; at >= 0; at -= 1) {
      const { address, before, version: changedIn, atMs } = this.past[at] as PastRow;
      if (atMs <= momentMs) break;
      version = changedIn - 1;
      if (address.table !== table || (address.part ?? '') !== part) continue;
      if (before) rows.set(address.key, before);
      else rows.delete(address.key);
    }
    return { rows: inRange(rows, from, until), version };
  }

  /** Changes of a table after a version; `undefined` when that history is gone. */
  changes(table: string, after: number): Row[] | undefined {
    if (after < this.historyStart) return undefined;
    let from = this.history.length;
    while (from > 0 && (this.history[from - 1] as Row).ver > after) from -= 1;
    return this.history.slice(from).filter((row) => row.table === table);
  }

  /** Forgets all history. */
  forgetHistory(): void {
    this.history.length = 0;
    this.historyStart = this.counter;
    for (const table of this.listeners.keys()) this.notify(table);
  }

  /** Calls `listener` after each change of a table; returns the way to stop. */
  listen(table: string, listener: () => void): () => void {
    const ofTable = this.listeners.get(table) ?? new Set();
    this.listeners.set(table, ofTable.add(listener));
    return () => ofTable.delete(listener);
  }

  private notify(table: string): void {
    for (const listener of [...(this.listeners.get(table) ?? [])]) listener();
  }

  private change(row: Row): void {
    this.remember(row);
    if (row.gone) this.part(row).delete(row.key);
    else this.part(row).set(row.key, row);
    this.history.push(row);
  }

  private remember(row: Row): void {
    const atMs = monotonicMs();
    while (this.past[0] && this.past[0].atMs < atMs - LONGEST_PAST_MS) this.past.shift();
    this.past.push({ address: row, before: this.find(row), version: row.ver, atMs });
  }

  private find(address: RowAddress): Row | undefined {
    return this.part(address).get(address.key);
  }

  private part(address: Pick<RowAddress, 'table' | 'part'>): Part {
    const name = partOf(address);
    const existing = this.parts.get(name);
    if (existing) return existing;
    const created: Part = new Map();
    this.parts.set(name, created);
    return created;
  }
}

function inRange(rows: Part, from: string, until: string | undefined): Row[] {
  return [...rows.values()]
    .filter((row) => row.key >= from && (until === undefined || row.key < until))
    .sort((left, right) => Buffer.compare(Buffer.from(left.key), Buffer.from(right.key)));
}
