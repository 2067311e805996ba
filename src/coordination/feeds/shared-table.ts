/** Follows a table with two kinds of records, each in its own partitions, by a single feed. */
import { err, ok, type Result } from 'neverthrow';
import type { ChangedRecord } from '../../protocol/record-store.js';
import type { StateError } from '../../state/state-error.js';
import type { FeedHandler, TableContent } from './record-feed.js';

/** Handler of the records of one partition. */
export interface PartitionHandler<T> {
  readonly partition: string;
  readonly handler: FeedHandler<T>;
}

interface SharedContent<Main, Secondary> {
  readonly main: Main;
  readonly secondary: Secondary;
}

/** Passes the records of one partition to its handler and all others to the main handler. */
export class SharedTable<Main, Secondary> implements FeedHandler<SharedContent<Main, Secondary>> {
  constructor(
    private readonly main: FeedHandler<Main>,
    private readonly secondary: PartitionHandler<Secondary>,
  ) {}

  get table(): string {
    return this.main.table;
  }

  async readAll(): Promise<Result<TableContent<SharedContent<Main, Secondary>>, StateError>> {
    const secondary = await this.secondary.handler.readAll();
    if (secondary.isErr()) return err(secondary.error);
    const main = await this.main.readAll();
    if (main.isErr()) return err(main.error);
    const version = Math.min(main.value.version, secondary.value.version);
    return ok({ content: { main: main.value.content, secondary: secondary.value.content }, version });
  }

  replaceAll({ main, secondary }: SharedContent<Main, Secondary>, version: number): void {
    try {
      this.secondary.handler.replaceAll(secondary, version);
    } finally {
      this.main.replaceAll(main, version);
    }
  }

  confirm(asOfMs: number): void {
    this.main.confirm?.(asOfMs);
  }

  apply(change: ChangedRecord): void {
    if (change.partition === this.secondary.partition) this.secondary.handler.apply(change);
    else this.main.apply(change);
  }
}
