/** The stored record of a leader lease, in the sessions' table: one scan reads leases and heartbeats. */
import type { RecordAddress, StoredRecord } from '../../../protocol/record-store.js';
import type { OwnerReference } from '../../../state/service/jobs/index.js';
import { SESSION_TABLE } from '../membership/index.js';
import type { RecentAction } from './recent-actions.js';

/** Stored; the names of fields stay. "act" is an action of the leader, `holder` the leader. */
export interface LeaseContent {
  readonly holder: OwnerReference;
  /** Rises with each change of the leader; serves as fencing token. */
  readonly epoch: number;
  /** Confirmations of this leader. */
  readonly acts: number;
  /** How long after its confirmation the last action may still begin, milliseconds. */
  readonly validMs: number;
  /** Actions of this and earlier leaders within the handover guard; nodes of version 0.1.0 leave them out. */
  readonly recent?: readonly RecentAction[];
}

/** A lease as read or written last. */
export interface VersionedLease {
  readonly content: LeaseContent;
  /** Version of the record; 0 while there is none. */
  readonly version: number;
}

/** Holder of a lease that was released. */
export const NO_HOLDER: OwnerReference = { node: '', life: '' };

/** The lease while there is no record of it. */
export const ABSENT_LEASE: VersionedLease = {
  content: { holder: NO_HOLDER, epoch: 0, acts: 0, validMs: 0, recent: [] },
  version: 0,
};

export function leaseAddress(task: string): RecordAddress {
  return { table: SESSION_TABLE, partition: '', key: `duty/${task}` };
}

export function parseLease({ value }: StoredRecord): LeaseContent {
  return JSON.parse(value.toString('utf8')) as LeaseContent;
}
