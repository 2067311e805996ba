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

interface SharedContent<Main, Other> {
  readonly main: Main;
  readonly other: Other;
}

/** Passes the records of one partition to its handler and all others to the main handler. */
export class SharedTable<Main, Other> implements FeedHandler<SharedContent<Main, Other>> {
  constructor(
    private readonly main: FeedHandler<Main>,
    private readonly other: PartitionHandler<Other>,
  ) {}

  get table(): string {
    return this.main.table;
  }

  async readAll(): Promise<Result<TableContent<SharedContent<Main, Other>>, StateError>> {
    const other = await this.other.handler.readAll();
    if (other.isErr()) return err(other.error);
    const main = await this.main.readAll();
    if (main.isErr()) return err(main.error);
    const version = Math.min(main.value.version, other.value.version);
    return ok({ content: { main: main.value.content, other: other.value.content }, version });
  }

  replaceAll({ main, other }: SharedContent<Main, Other>): void {
    this.other.handler.replaceAll(other);
    this.main.replaceAll(main);
  }

  apply(change: ChangedRecord): void {
    if (change.partition === this.other.partition) this.other.handler.apply(change);
    else this.main.apply(change);
  }
}
