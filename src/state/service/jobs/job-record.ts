/** Stored records of batch jobs: tables, keys and fields. */
import { err, ok, type Result } from 'neverthrow';
import Type, { type Static } from 'typebox';
import { fnv1aHash } from '../../../common/spread.js';
import type { RecordAddress } from '../../../protocol/record-store.js';
import type { PartialText } from '../../../protocol/service/batch-job.js';
import { RecordFormat } from '../../store/index.js';
import { FOLLOWED_TABLE } from '../store/index.js';

export const JOB_TABLE = FOLLOWED_TABLE;
export const SUBMISSION_TABLE = 'job-submissions';
export const RESULT_TABLE = 'job-results';
export const TEXT_TABLE = 'job-texts';

/** Part of the stored keys, so it must not change. */
const PARTITION_COUNT = 8;
const POSITION_DIGITS = 7;
/** Of a node or an incarnation, characters. */
const MAX_NAME_LENGTH = 300;
/** Sorts after all characters that keys use. */
const KEY_UPPER_BOUND = '~';

const NameSchema = Type.String({ maxLength: MAX_NAME_LENGTH });
const CountSchema = Type.Integer({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER });

const OwnerSchema = Type.Object({
  node: NameSchema,
  /** ID of the incarnation: one run of the process. */
  life: NameSchema,
});
/** Owner of a job: one incarnation of a node. */
export type OwnerReference = Readonly<Static<typeof OwnerSchema>>;

/** Far more than a submission has. */
const MAX_SUBMISSION_OBJECTS = 1_000;

const JobSchema = Type.Object({
  state: Type.Union([Type.Literal('open'), Type.Literal('ended')]),
  /** `null` after the last owner has released the job. */
  owner: Type.Union([Type.Null(), OwnerSchema]),
  /** Incremented by each claim. */
  epoch: CountSchema,
  host: Type.String(),
  path: Type.String(),
  /** Absent where there are no tenants. */
  tenant: Type.Optional(Type.String()),
  /** The first builds left out the model and the tokens. */
  model: Type.Optional(Type.String()),
  /** Upper bound of the tokens of all items, prompts and outputs. */
  tokens: Type.Optional(Type.Number({ minimum: 0 })),
  /** Number of items; 0 if the job was ended before its submission arrived. */
  total: CountSchema,
  /** Number of records that hold the submission. */
  chunks: CountSchema,
  /** Name of the object that holds a submission too large for records. */
  object: Type.Optional(Type.String()),
  /** Number of objects, if there are several. */
  objects: Type.Optional(Type.Integer({ minimum: 1, maximum: MAX_SUBMISSION_OBJECTS })),
  /** Store clock, milliseconds. */
  acceptedAtMs: Type.Number(),
});

/** The stored head of a job. All writes of the owner are conditional on the version of this record. */
export type JobRecord = Readonly<Static<typeof JobSchema>> & {
  readonly model: string;
  readonly tokens: number;
};

const ResultSchema = Type.Object({ id: Type.String(), state: Type.String() });

const PartialTextSchema = Type.Object({
  lastEventId: Type.Optional(Type.String()),
  events: Type.Array(Type.String()),
  versions: Type.Array(Type.Number()),
  isWhole: Type.Boolean(),
});

const jobFormat = new RecordFormat(JobSchema);
const resultFormat = new RecordFormat(ResultSchema);
const partialTextFormat = new RecordFormat(PartialTextSchema);

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

/** The error says what is wrong with the record. */
export function parseJobRecord(value: Buffer): Result<JobRecord, string> {
  return jobFormat
    .parse(value)
    .map((record) => ({ ...record, model: record.model ?? '', tokens: record.tokens ?? 0 }));
}

/** The item and state of a listed result, which is JSON text; `undefined` if it is unreadable. */
export function parseListedResult(result: string): Readonly<Static<typeof ResultSchema>> | undefined {
  return resultFormat.parse(Buffer.from(result, 'utf8')).unwrapOr(undefined);
}

/** The error says what is wrong with the record. */
export function parsePartialText(value: Buffer): Result<PartialText, string> {
  return partialTextFormat.parse(value).andThen(({ lastEventId = '', ...text }) => {
    const isResumable = text.events.length === 0 || lastEventId !== '';
    return isResumable ? ok({ ...text, lastEventId }) : err('lastEventId: is required');
  });
}

/** Whether a partition of the followed table is for jobs. */
export function isJobPartition(partition: string): boolean {
  return JOB_PARTITIONS.includes(partition);
}

function zeroPadded(number: number): string {
  return String(number).padStart(POSITION_DIGITS, '0');
}
