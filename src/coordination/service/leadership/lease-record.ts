/**
 * Stored record of a leader lease. It is in the session table, so that one scan reads leases and heartbeats.
 */
import type { Result } from 'neverthrow';
import Type, { type Static } from 'typebox';
import type { RecordAddress, StoredRecord } from '../../../protocol/record-store.js';
import type { OwnerReference } from '../../../state/service/jobs/index.js';
import { RecordFormat } from '../../../state/store/index.js';
import { SESSION_TABLE } from '../membership/index.js';
import type { RecentAction } from './recent-actions.js';

const NameSchema = Type.String({ maxLength: 300 });
const CountSchema = Type.Integer({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER });

/** Stored format. */
const LeaseSchema = Type.Object({
  holder: Type.Object({ node: NameSchema, life: NameSchema }),
  /** Increases with each change of the holder; serves as fencing token. */
  epoch: CountSchema,
  /** Number of confirmations by this holder. */
  acts: CountSchema,
  /** Validity of the last confirmation; the first builds left it out. */
  validMs: Type.Optional(Type.Number({ minimum: 0 })),
  /** Actions of this and earlier holders within the handover guard; absent in records of version 0.1.0. */
  recent: Type.Optional(
    Type.Array(Type.Object({ target: NameSchema, node: NameSchema, begunByMs: Type.Number() })),
  ),
});
export type LeaseContent = Readonly<Omit<Static<typeof LeaseSchema>, 'recent'>> & {
  readonly recent?: readonly RecentAction[];
};

const leaseFormat = new RecordFormat(LeaseSchema);

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

/** The error says what is wrong with the record. */
export function parseLease({ value }: StoredRecord): Result<LeaseContent, string> {
  return leaseFormat.parse(value);
}

/**
 * Stands for an unreadable record: free, but any target may have been acted on until now. The store's version
 * has risen with each epoch, so the next epoch is higher than any before.
 */
export function replacementFor({ version }: StoredRecord): LeaseContent {
  return { holder: NO_HOLDER, epoch: version, acts: 0 };
}
