/** Reads all pages of a range of records. */
import { err, ok, type Result } from 'neverthrow';
import type { RecordStore, StoredRecord } from '../../protocol/record-store.js';
import { StateError } from '../state-error.js';

export interface RangeContent {
  readonly records: StoredRecord[];
  /** Lowest store version of the pages: later changes may be missing. */
  readonly version: number;
  /** Whether any page is stale, as in `RecordPage`. */
  readonly isStale: boolean;
}

/** Parameters as in `RecordRange`. Fails if any page fails; safe to retry. */
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
  let nextKey = from;
  for (;;) {
    const page = await store.scan({ table, partition, from: nextKey, until, allowStale });
    if (page.isErr()) return err(new StateError('unavailable', 'none', page.error.message));
    records.push(...page.value.records);
    version = Math.min(version, page.value.version);
    isStale ||= page.value.isStale === true;
    const last = records.at(-1);
    if (!page.value.hasMore || !last) return ok({ records, version, isStale });
    nextKey = `${last.key}\0`;
  }
}
