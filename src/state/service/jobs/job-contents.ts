/**
 * Storage for the contents of jobs: submissions, results by position, and texts of running items. All writes
 * of an owner are conditional on the version of the job's head, so that a replaced owner cannot write.
 */
import { err, ok, type Result } from 'neverthrow';
import type { RecordStore, RecordWrite, StoredRecord } from '../../../protocol/record-store.js';
import type { PartialText } from '../../../protocol/service/batch-job.js';
import { StateError } from '../../state-error.js';
import { ignoreUnreadable, type ReportUnreadable, readRange, transactWithRetry } from '../store/index.js';
import {
  headAddress,
  type JobHead,
  parsePartialText,
  parseResultKey,
  partitionOf,
  RESULT_TABLE,
  rangeEnd,
  resultAddress,
  resultRangeStart,
  SUBMISSION_TABLE,
  submissionAddress,
  TEXT_TABLE,
  textAddress,
} from './job-record.js';
import { SubmissionObjects, type SubmissionReference } from './submission-objects.js';
import type { SubmittedJob } from './submitted-job.js';

/** Leaves room for the key within the store's limit for a record. */
const RECORD_FILL_RATIO = 0.9;
/** Submissions up to this size are stored as records in one transaction, larger ones as objects. */
const MAX_RECORD_SUBMISSION_BYTES = 500_000;
/** Below the store's limits of 1 MB and 100 entries for a transaction; records grow by a third in base64. */
const MAX_TRANSACTION_BYTES = 600_000;
/** Largest text of a result as JSON, which has to fit into one transaction. */
export const MAX_RESULT_TEXT_BYTES = MAX_TRANSACTION_BYTES;
const MAX_TRANSACTION_RECORDS = 80;
/** With a condition for each record and one for the head, below the store's limit of 100 entries. */
const MAX_RESULT_RECORDS = 48;

function splitIntoChunks(bytes: Buffer, size: number): Buffer[] {
  const chunks: Buffer[] = [];
  for (let offset = 0; offset < bytes.length; offset += size)
    chunks.push(bytes.subarray(offset, offset + size));
  return chunks;
}

/** What remains to be written for a submission, and where the rest is stored. */
export interface StoredSubmission {
  readonly writes: RecordWrite[];
  readonly reference: SubmissionReference;
}

export class JobContents {
  private readonly chunkBytes: number;
  private readonly objects: SubmissionObjects;

  constructor(
    private readonly store: RecordStore,
    private readonly reportUnreadable: ReportUnreadable = ignoreUnreadable,
  ) {
    this.objects = new SubmissionObjects(store);
    this.chunkBytes = Math.floor(store.limits.recordBytes * RECORD_FILL_RATIO);
  }

  /** Returns the records to write for a submission, or stores it as objects and returns where. */
  async storeSubmission(job: SubmittedJob): Promise<Result<StoredSubmission, StateError>> {
    if (job.submission.length <= MAX_RECORD_SUBMISSION_BYTES) {
      const chunks = splitIntoChunks(job.submission, this.chunkBytes);
      return ok({
        writes: chunks.map((value, index) => ({ ...submissionAddress(job.jobId, index), value })),
        reference: {},
      });
    }
    const stored = await this.objects.put(job.jobId, job.submission);
    return stored.map((reference) => ({ writes: [], reference }));
  }

  async submission(head: JobHead): Promise<Result<Buffer, StateError>> {
    const { jobId, record } = head;
    if (record.object !== undefined) return this.objects.read(record);
    const from = submissionAddress(jobId, 0).key;
    const records = await readRange(this.store, SUBMISSION_TABLE, partitionOf(jobId), from, rangeEnd(jobId));
    if (records.isErr()) return err(records.error);
    if (records.value.records.length !== record.chunks)
      return err(new StateError('not-found', 'none', `submission of ${jobId} is incomplete`));
    return ok(Buffer.concat(records.value.records.map((chunk) => chunk.value)));
  }

  /**
   * Writes results from `firstPosition` on if the owner's head is unchanged; repeats the transaction until the
   * store answers or `signal` is aborted. After a lost answer it counts as applied only if all records match: a
   * later owner may have written the same results in another order.
   */
  async appendResults(
    head: JobHead,
    firstPosition: number,
    results: readonly string[],
    signal: AbortSignal,
  ): Promise<Result<void, StateError>> {
    const writes = results.flatMap((result, index) =>
      this.resultWrites(head.jobId, firstPosition + index, result),
    );
    if (writes.length === 0) return ok(undefined);
    const outcome = await transactWithRetry(
      this.store,
      {
        conditions: [
          { ...headAddress(head.jobId), version: head.version },
          ...writes.map(({ table, partition, key }) => ({ table, partition, key, version: 0 })),
        ],
        writes,
        removals: [],
      },
      {
        deadlineMs: Number.POSITIVE_INFINITY,
        signal,
        isApplied: (current) => areAllApplied(writes, current),
      },
    );
    return outcome.map(() => undefined);
  }

  /** Number of leading results that fit into one transaction, at least one. */
  countFittingResults(results: readonly string[]): number {
    let bytes = 0;
    let records = 0;
    let count = 0;
    for (const result of results) {
      const resultBytes = Buffer.byteLength(result, 'utf8');
      bytes += resultBytes;
      records += Math.ceil(resultBytes / this.chunkBytes);
      if (count > 0 && (bytes > MAX_TRANSACTION_BYTES || records > MAX_RESULT_RECORDS)) break;
      count += 1;
    }
    return count;
  }

  /** Returns results from `position` on, each as JSON text, as many as one page of the store holds. */
  async results(jobId: string, position: number): Promise<Result<string[], StateError>> {
    const page = await this.store.scan({
      table: RESULT_TABLE,
      partition: partitionOf(jobId),
      from: resultRangeStart(jobId, position),
      until: rangeEnd(jobId),
    });
    if (page.isErr()) return err(new StateError('unavailable', 'none', page.error.message));
    return ok(assembleResults(page.value.records, position));
  }

  async allResults(jobId: string): Promise<Result<string[], StateError>> {
    const all: string[] = [];
    for (;;) {
      const page = await this.results(jobId, all.length);
      if (page.isErr()) return err(page.error);
      if (page.value.length === 0) return ok(all);
      all.push(...page.value);
    }
  }

  /** Stores as many texts as fit if the owner's head is unchanged. Returns the IDs of the stored ones. */
  async saveTexts(
    head: JobHead,
    texts: ReadonlyMap<string, PartialText>,
  ): Promise<Result<readonly string[], StateError>> {
    const writes: RecordWrite[] = [];
    const saved: string[] = [];
    let bytes = 0;
    for (const [itemId, text] of texts) {
      const value = Buffer.from(JSON.stringify(text), 'utf8');
      if (value.length > this.store.limits.recordBytes) continue;
      bytes += value.length;
      if (writes.length >= MAX_TRANSACTION_RECORDS || bytes > MAX_TRANSACTION_BYTES) break;
      writes.push({ ...textAddress(head.jobId, itemId), value });
      saved.push(itemId);
    }
    const condition = { ...headAddress(head.jobId), version: head.version };
    const outcome = await this.store.transact({ conditions: [condition], writes, removals: [] });
    if (outcome.isOk()) return ok(saved);
    const { failure, effect, message } = outcome.error;
    return err(new StateError(failure === 'conflict' ? 'lease-lost' : 'unavailable', effect, message));
  }

  /** Returns the stored texts by item ID; the item of an unreadable one starts over. */
  async texts(jobId: string): Promise<Result<Map<string, PartialText>, StateError>> {
    const records = await readRange(this.store, TEXT_TABLE, partitionOf(jobId), `${jobId}/`, rangeEnd(jobId));
    return records.map((found) => {
      const texts = new Map<string, PartialText>();
      for (const record of found.records) {
        const text = parsePartialText(record.value);
        if (text.isOk()) texts.set(record.key.slice(jobId.length + 1), text.value);
        else this.reportUnreadable(record, text.error);
      }
      return texts;
    });
  }

  /** Removes everything but the head. Returns false if something may be left. */
  async removeAll({ jobId, record }: JobHead): Promise<boolean> {
    await this.objects.remove(record);
    for (const table of [TEXT_TABLE, SUBMISSION_TABLE, RESULT_TABLE]) {
      const found = await readRange(this.store, table, partitionOf(jobId), `${jobId}/`, rangeEnd(jobId));
      if (found.isErr()) return false;
      for (let offset = 0; offset < found.value.records.length; offset += MAX_TRANSACTION_RECORDS) {
        const removals = found.value.records.slice(offset, offset + MAX_TRANSACTION_RECORDS);
        const outcome = await this.store.transact({ conditions: [], writes: [], removals });
        if (outcome.isErr()) return false;
      }
    }
    return true;
  }

  private resultWrites(jobId: string, position: number, result: string): RecordWrite[] {
    const chunks = splitIntoChunks(Buffer.from(result, 'utf8'), this.chunkBytes);
    return chunks.map((value, index) => ({
      ...resultAddress(jobId, position, index, chunks.length),
      value,
    }));
  }
}

/** Whether each record has the value to be written. */
function areAllApplied(writes: readonly RecordWrite[], current: readonly StoredRecord[]): boolean {
  const values = new Map(current.map(({ key, value }) => [key, value]));
  return writes.every(({ key, value }) => values.get(key)?.equals(value) ?? false);
}

/** Joins the chunks of results, up to the first incomplete one. */
function assembleResults(records: readonly StoredRecord[], firstPosition: number): string[] {
  const results: string[] = [];
  let chunks: Buffer[] = [];
  for (const record of records) {
    const key = parseResultKey(record.key);
    if (key.position !== firstPosition + results.length || key.chunk !== chunks.length) break;
    chunks.push(record.value);
    if (chunks.length < key.chunks) continue;
    results.push(Buffer.concat(chunks).toString('utf8'));
    chunks = [];
  }
  return results;
}
