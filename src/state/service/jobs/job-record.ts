/** Records of batch jobs: their shape in the store, tables and keys. */
import { fnv1aHash } from '../../../common/spread.js';
import type { RecordAddress } from '../../../protocol/record-store.js';
import { FOLLOWED_TABLE } from '../store/index.js';

/** Tables of the store. */
export const JOB_TABLE = FOLLOWED_TABLE;
export const SUBMISSION_TABLE = 'job-submissions';
export const RESULT_TABLE = 'job-results';
export const TEXT_TABLE = 'job-texts';

/** Partitions over which jobs are spread. Fixed: it is part of the keys. */
const PARTITION_COUNT = 8;
const POSITION_DIGITS = 7;
/** Sorts after every character that keys use. */
const KEY_UPPER_BOUND = '~';

/** Who runs a job: one incarnation of one node. */
export interface OwnerReference {
  readonly node: string;
  /** ID of the incarnation, that is of one run of the process. A stored name. */
  readonly life: string;
}

/** The head of a job, as stored. Every write of its owner is conditional on the version of this record. */
export interface JobRecord {
  readonly state: 'open' | 'ended';
  /** `null` when the last owner has handed the job back. */
  readonly owner: OwnerReference | null;
  /** Rises with each claim. */
  readonly epoch: number;
  readonly host: string;
  readonly path: string;
  /** Tenant that the job belongs to; absent where there are no tenants. */
  readonly tenant?: string;
  readonly model: string;
  /** Tokens that all items may take, prompts and outputs. */
  readonly tokens: number;
  /** Number of items; 0 when the job was ended before it was submitted. */
  readonly total: number;
  /** Records that hold the submission. */
  readonly chunks: number;
  /** Name of the object that holds the submission, when it is too large for records. */
  readonly object?: string;
  /** Time of acceptance on the store's clock, milliseconds. */
  readonly acceptedAtMs: number;
}

/** A job's head as read. */
export interface JobHead {
  readonly jobId: string;
  readonly record: JobRecord;
  readonly version: number;
}

/** Whether a caller of `tenant` may access the job; others must not learn that it exists. */
export function belongsTo({ record }: JobHead, tenant: string | undefined): boolean {
  return record.tenant === undefined || record.tenant === tenant;
}

/** All partitions of jobs. */
export const JOB_PARTITIONS: readonly string[] = Array.from(
  { length: PARTITION_COUNT },
  (_, index) => `jobs-${index}`,
);

/** Partition of a job: all its records share one, so that one transaction can change them. */
export function partitionOf(jobId: string): string {
  return JOB_PARTITIONS[fnv1aHash(jobId) % PARTITION_COUNT] as string;
}

export function headAddress(jobId: string): RecordAddress {
  return { table: JOB_TABLE, partition: partitionOf(jobId), key: jobId };
}

export function submissionAddress(jobId: string, chunk: number): RecordAddress {
  return { table: SUBMISSION_TABLE, partition: partitionOf(jobId), key: `${jobId}/${zeroPadded(chunk)}` };
}

/** A result larger than one record is stored in several; `chunk` counts them from 0. */
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

/** End of all keys that belong to a job. */
export function rangeEnd(jobId: string): string {
  return `${jobId}/${KEY_UPPER_BOUND}`;
}

/** The parts of a result's key. */
export interface ResultKey {
  readonly position: number;
  readonly chunk: number;
  readonly chunks: number;
}

/** Parses the key of a result. */
export function parseResultKey(key: string): ResultKey {
  const [position, rest = ''] = key.split('/').slice(-2);
  const [chunk, chunks] = rest.split('-');
  return { position: Number(position), chunk: Number(chunk), chunks: Number(chunks) };
}

/** Parses a job's head; `undefined` for other records of the table. */
export function parseJobRecord(value: Buffer): JobRecord | undefined {
  try {
    return JSON.parse(value.toString('utf8')) as JobRecord;
  } catch {
    // Crash reports share the table and are no JSON.
    return undefined;
  }
}

function zeroPadded(number: number): string {
  return String(number).padStart(POSITION_DIGITS, '0');
}
