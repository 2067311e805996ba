/**
 * Reads records as they are now, however old the store's reads of ranges are: a transaction that writes nothing, on the
 * condition that none of the records is there. The store judges conditions by its newest records and tells those that
 * don't meet theirs.
 */
import { err, ok, type Result } from 'neverthrow';
import type { RecordAddress, RecordStore, StoredRecord } from '../../protocol/record-store.js';
import { StateError } from '../state-error.js';

/** Conditions that the store takes in one transaction. */
const MAX_CONDITIONS = 100;
const ABSENT = 0;

/** Records as of the same moment or later; those of the addresses that are missing don't exist. */
export interface CurrentRecords {
  readonly records: readonly StoredRecord[];
  /** Newest version of the store at the first moment that they show. */
  readonly version: number;
}

/** Reads the records at `addresses`, all of one partition. Costs one writing call for each hundred. */
export async function readCurrent(
  store: RecordStore,
  addresses: readonly RecordAddress[],
): Promise<Result<CurrentRecords, StateError>> {
  const records: StoredRecord[] = [];
  let version = Number.POSITIVE_INFINITY;
  for (let from = 0; from < addresses.length; from += MAX_CONDITIONS) {
    const read = await readTogether(store, addresses.slice(from, from + MAX_CONDITIONS));
    if (read.isErr()) return err(read.error);
    records.push(...read.value.records);
    version = Math.min(version, read.value.version);
  }
  return ok({ records, version });
}

async function readTogether(
  store: RecordStore,
  addresses: readonly RecordAddress[],
): Promise<Result<CurrentRecords, StateError>> {
  const conditions = addresses.map((address) => ({ ...address, version: ABSENT }));
  const outcome = await store.transact({ conditions, writes: [], removals: [] });
  if (outcome.isOk()) return ok({ records: [], version: outcome.value });
  const { failure, message, current, currentVersion } = outcome.error;
  if (failure === 'conflict') return ok({ records: current, version: currentVersion });
  return err(new StateError('unavailable', 'none', message));
}
