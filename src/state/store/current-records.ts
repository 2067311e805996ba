/**
 * Reads current records even while scans are stale. Sends a transaction without writes, on the condition that
 * none of the records exists: the store checks conditions against its current records and returns those that
 * fail them.
 */
import { err, ok, type Result } from 'neverthrow';
import type { RecordAddress, RecordStore, StoredRecord } from '../../protocol/record-store.js';
import { StateError } from '../state-error.js';

/** The store's limit for a transaction. */
const MAX_CONDITIONS = 100;
const ABSENT = 0;

/** Existing records; addresses without one have no record. */
export interface CurrentRecords {
  readonly records: readonly StoredRecord[];
  /** Lowest store version at which any of the records was read. */
  readonly version: number;
}

/** Reads the records at `addresses`, all in one partition. Safe to retry. */
export async function readCurrent(
  store: RecordStore,
  addresses: readonly RecordAddress[],
): Promise<Result<CurrentRecords, StateError>> {
  const records: StoredRecord[] = [];
  let version = Number.POSITIVE_INFINITY;
  for (let from = 0; from < addresses.length; from += MAX_CONDITIONS) {
    const read = await readBatch(store, addresses.slice(from, from + MAX_CONDITIONS));
    if (read.isErr()) return err(read.error);
    records.push(...read.value.records);
    version = Math.min(version, read.value.version);
  }
  return ok({ records, version });
}

async function readBatch(
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
