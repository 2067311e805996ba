/** The platform's table and object store in memory, behind the interfaces of the state layer, with seeded faults. */
import { err, ok, type Result } from 'neverthrow';
import type { MemoryTable } from '../../emulator/platform/table.js';
import type { Random } from '../../src/common/random.js';
import type { Row, Transaction, TransactionOutcome } from '../../src/protocol/table-service.js';
import type { Objects } from '../../src/state/platform-objects.js';
import type { Table } from '../../src/state/platform-table.js';
import { StateError } from '../../src/state/state-error.js';

const down = () => new StateError('unavailable', 'none', 'injected: not reached');
const lost = () => new StateError('unavailable', 'unknown', 'injected: answer lost');

/** Turns of the event loop's microtasks that a call takes at most. */
const MAX_TURNS = 24;

/** A table whose calls fail at random, before or after they took effect. */
export class FaultyTable implements Table {
  /** Share of calls that fail. */
  faultShare = 0;

  constructor(
    readonly rows: MemoryTable,
    private readonly random: Random,
  ) {}

  async transact(transaction: Transaction): Promise<Result<TransactionOutcome, StateError>> {
    await this.travel();
    if (this.fails()) return err(down());
    // A round trip through JSON, as on the wire, so that no two rows share an object.
    const outcome = this.rows.transact(JSON.parse(JSON.stringify(transaction)) as Transaction);
    return this.fails() ? err(lost()) : ok(outcome);
  }

  async read(keys: readonly string[]): Promise<Result<Row[], StateError>> {
    await this.travel();
    return this.fails() ? err(down()) : ok(this.rows.read(keys));
  }

  async scan(prefix: string, limit: number, after?: string): Promise<Result<Row[], StateError>> {
    await this.travel();
    return this.fails() ? err(down()) : ok(this.rows.scan(prefix, after, limit));
  }

  /** A call takes a random number of turns, so that calls of concurrent operations interleave. */
  private async travel(): Promise<void> {
    for (let turns = this.random.integer(MAX_TURNS); turns > 0; turns -= 1) await Promise.resolve();
  }

  private fails(): boolean {
    return this.random.fraction() < this.faultShare;
  }
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
