/** Reads a range of records that may be longer than one page. */
import { err, ok, type Result } from 'neverthrow';
import type { RecordStore, StoredRecord } from '../../../protocol/record-store.js';
import { StateError } from '../../state-error.js';

/** Records of a range, read page by page; the version is that of the first page. */
export async function readRange(
  store: RecordStore,
  table: string,
  partition: string,
  from?: string,
  until?: string,
): Promise<Result<{ records: StoredRecord[]; version: number }, StateError>> {
  const records: StoredRecord[] = [];
  let version = Number.POSITIVE_INFINITY;
  let next = from;
  for (;;) {
    const page = await store.scan({ table, partition, from: next, until });
    if (page.isErr()) return err(new StateError('unavailable', 'none', page.error.message));
    records.push(...page.value.records);
    version = Math.min(version, page.value.version);
    const last = records.at(-1);
    if (!page.value.hasMore || !last) return ok({ records, version });
    next = `${last.key}\0`;
  }
}
