/**
 * Stored record of a leader lease. It is in the session table, so that one scan reads leases and heartbeats.
 */
import type { RecordAddress, StoredRecord } from '../../../protocol/record-store.js';
import type { OwnerReference } from '../../../state/service/jobs/index.js';
import { SESSION_TABLE } from '../membership/index.js';
import type { RecentAction } from './recent-actions.js';

/** Stored format. */
export interface LeaseContent {
  readonly holder: OwnerReference;
  /** Increases with each change of the holder; serves as fencing token. */
  readonly epoch: number;
  /** Number of confirmations by this holder. */
  readonly acts: number;
  /** Validity of the last confirmation. */
  readonly validMs: number;
  /** Actions of this and earlier holders within the handover guard; absent in records of version 0.1.0. */
  readonly recent?: readonly RecentAction[];
}

/** A lease with the version of its record. */
export interface VersionedLease {
  readonly content: LeaseContent;
  /** 0 if the record does not exist. */
  readonly version: number;
}

/** Holder of a released lease. */
export const NO_HOLDER: OwnerReference = { node: '', life: '' };

export const ABSENT_LEASE: VersionedLease = {
  content: { holder: NO_HOLDER, epoch: 0, acts: 0, validMs: 0, recent: [] },
  version: 0,
};

export function leaseAddress(task: string): RecordAddress {
  // The prefix `duty/` stands for a singleton task.
  return { table: SESSION_TABLE, partition: '', key: `duty/${task}` };
}

export function parseLease({ value }: StoredRecord): LeaseContent {
  return JSON.parse(value.toString('utf8')) as LeaseContent;
}
