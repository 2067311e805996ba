/** Stored records of batch jobs: tables, keys and fields. */
import { fnv1aHash } from '../../../common/spread.js';
import type { RecordAddress } from '../../../protocol/record-store.js';
import { FOLLOWED_TABLE } from '../store/index.js';

export const JOB_TABLE = FOLLOWED_TABLE;
export const SUBMISSION_TABLE = 'job-submissions';
export const RESULT_TABLE = 'job-results';
export const TEXT_TABLE = 'job-texts';

/** Part of the stored keys, so it must not change. */
const PARTITION_COUNT = 8;
const POSITION_DIGITS = 7;
/** Sorts after all characters that keys use. */
const KEY_UPPER_BOUND = '~';

/** Owner of a job: one incarnation of a node. */
export interface OwnerReference {
  readonly node: string;
  /** ID of the incarnation: one run of the process. */
  readonly life: string;
}

/** The stored head of a job. All writes of the owner are conditional on the version of this record. */
export interface JobRecord {
  readonly state: 'open' | 'ended';
  /** `null` after the last owner has released the job. */
  readonly owner: OwnerReference | null;
  /** Incremented by each claim. */
  readonly epoch: number;
  readonly host: string;
  readonly path: string;
  /** Absent where there are no tenants. */
  readonly tenant?: string;
  readonly model: string;
  /** Upper bound of the tokens of all items, prompts and outputs. */
  readonly tokens: number;
  /** Number of items; 0 if the job was ended before its submission arrived. */
  readonly total: number;
  /** Number of records that hold the submission. */
  readonly chunks: number;
  /** Name of the object that holds a submission too large for records. */
  readonly object?: string;
  /** Store clock, milliseconds. */
  readonly acceptedAtMs: number;
}

export interface JobHead {
  readonly jobId: string;
  readonly record: JobRecord;
  readonly version: number;
}

/** Whether callers of `tenant` may access the job. Others must not learn that it exists. */
export function belongsTo({ record }: JobHead, tenant: string | undefined): boolean {
  return record.tenant === undefined || record.tenant === tenant;
}

export const JOB_PARTITIONS: readonly string[] = Array.from(
  { length: PARTITION_COUNT },
  (_, index) => `jobs-${index}`,
);

/** All records of a job are in one partition, so that one transaction can change them. */
export function partitionOf(jobId: string): string {
  return JOB_PARTITIONS[fnv1aHash(jobId) % PARTITION_COUNT] as string;
}

export function headAddress(jobId: string): RecordAddress {
  return { table: JOB_TABLE, partition: partitionOf(jobId), key: jobId };
}

export function submissionAddress(jobId: string, chunk: number): RecordAddress {
  return { table: SUBMISSION_TABLE, partition: partitionOf(jobId), key: `${jobId}/${zeroPadded(chunk)}` };
}

/** A result is stored in one or more records; `chunk` counts them from 0. */
export function resultAddress(jobId: string, position: number, chunk: number, chunks: number): RecordAddress {
  const key = `${jobId}/${zeroPadded(position)}/${zeroPadded(chunk)}-${chunks}`;
  return { table: RESULT_TABLE, partition: partitionOf(jobId), key };
}

export function textAddress(jobId: string, itemId: string): RecordAddress {
  return { table: TEXT_TABLE, partition: partitionOf(jobId), key: `${jobId}/${itemId}` };
}

/** First key of the results from `position` on. */
export function resultRangeStart(jobId: string, position: number): string {
  return `${jobId}/${zeroPadded(position)}`;
}

/** Exclusive end of the keys that belong to a job. */
export function rangeEnd(jobId: string): string {
  return `${jobId}/${KEY_UPPER_BOUND}`;
}

export interface ResultKey {
  readonly position: number;
  readonly chunk: number;
  readonly chunks: number;
}

export function parseResultKey(key: string): ResultKey {
  const [position, rest = ''] = key.split('/').slice(-2);
  const [chunk, chunks] = rest.split('-');
  return { position: Number(position), chunk: Number(chunk), chunks: Number(chunks) };
}

/** Parses a job's head; `undefined` for records that are not JSON. */
export function parseJobRecord(value: Buffer): JobRecord | undefined {
  try {
    return JSON.parse(value.toString('utf8')) as JobRecord;
  } catch {
    // Crash reports share the table and are not JSON.
    return undefined;
  }
}

function zeroPadded(number: number): string {
  return String(number).padStart(POSITION_DIGITS, '0');
}
