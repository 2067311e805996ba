/** Stand-in of the transactional table service: rows in memory. */
import type { Row, Transaction, TransactionOutcome } from '../../src/protocol/table-service.js';

/** Rows by key. Each write raises the row's version by one; a deleted row has version 0 again. */
export class MemoryTable {
  private readonly rows = new Map<string, Row>();
  /** Keys of all rows, in order. */
  private readonly keys: string[] = [];
  private transactions = 0;

  /** Transactions that were committed. */
  get committedCount(): number {
    return this.transactions;
  }

  /** Runs a transaction whole or not at all. */
  transact(transaction: Transaction): TransactionOutcome {
    const failed = transaction.conditions
      .filter((condition) => (this.rows.get(condition.key)?.version ?? 0) !== condition.version)
      .map((condition) => condition.key);
    if (failed.length > 0) return { committed: false, failed };
    for (const write of transaction.writes) this.write(write.key, write.value);
    this.transactions += 1;
    return { committed: true, failed: [] };
  }

  /** Rows by key; absent ones are left out. */
  read(keys: readonly string[]): Row[] {
    return keys.flatMap((key) => this.rows.get(key) ?? []);
  }

  /** Rows under a prefix in key order. */
  scan(prefix: string, after: string | undefined, limit: number): Row[] {
    const found: Row[] = [];
    const start = after === undefined ? prefix : after;
    for (
      let index = lowerBound(this.keys, start);
      index < this.keys.length && found.length < limit;
      index += 1
    ) {
      const key = this.keys[index] as string;
      if (key === after) continue;
      if (!key.startsWith(prefix)) break;
      found.push(this.rows.get(key) as Row);
    }
    return found;
  }

  private write(key: string, value: unknown): void {
    const before = this.rows.get(key);
    const isDeleted = value === null || value === undefined;
    if (isDeleted && before) this.keys.splice(lowerBound(this.keys, key), 1);
    if (!isDeleted && !before) this.keys.splice(lowerBound(this.keys, key), 0, key);
    if (isDeleted) this.rows.delete(key);
    else this.rows.set(key, { key, version: (before?.version ?? 0) + 1, value });
  }
}

function lowerBound(sorted: readonly string[], key: string): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((sorted[middle] as string) < key) low = middle + 1;
    else high = middle;
  }
  return low;
}
