/** Reads a range of records over all its pages. A failed page fails the whole read; a repeat is safe. */
import { err, ok, type Result } from 'neverthrow';
import type { RecordStore, StoredRecord } from '../../protocol/record-store.js';
import { StateError } from '../state-error.js';

/** Content of a range. */
export interface RangeContent {
  readonly records: StoredRecord[];
  /** Lowest version of the pages: later changes may be missing. */
  readonly version: number;
  /** Whether a page is older than an answer that the process had before. */
  readonly isStale: boolean;
}

/** Reads a range over all its pages; parameters as in `RecordRange`. Safe to repeat. */
export async function readRange(
  store: RecordStore,
  table: string,
  partition: string,
  from?: string,
  until?: string,
  allowStale = false,
): Promise<Result<RangeContent, StateError>> {
  const records: StoredRecord[] = [];
  let version = Number.POSITIVE_INFINITY;
  let isStale = false;
  let next = from;
  for (;;) {
    const page = await store.scan({ table, partition, from: next, until, allowStale: allowStale });
    if (page.isErr()) return err(new StateError('unavailable', 'none', page.error.message));
    records.push(...page.value.records);
    version = Math.min(version, page.value.version);
    isStale ||= page.value.isStale === true;
    const last = records.at(-1);
    if (!page.value.hasMore || !last) return ok({ records, version, isStale: isStale });
    next = `${last.key}\0`;
  }
}
