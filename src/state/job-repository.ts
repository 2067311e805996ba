/**
 * Batch jobs in the record store: acceptance, ownership, results by position, texts of running items, the end. Each
 * change is one transaction that is conditional on the job's head, so that only its owner can make it.
 */
import { err, ok, type Result } from 'neverthrow';
import { monotonicMs } from '../common/clock.js';
import { uniqueId } from '../common/identifier.js';
import type { PartialText } from '../protocol/batch-job.js';
import type { RecordStore, RecordWrite, StoredRecord } from '../protocol/record-store.js';
import {
  headAddress,
  JOB_PARTITIONS,
  JOB_TABLE,
  type JobHead,
  type JobOwner,
  type JobRecord,
  parseJobRecord,
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
import { ConflictError, settle } from './settled-transaction.js';
import { StateError } from './state-error.js';

/** Part of a record that values fill, so that a record with its key stays under the store's limit. */
const FILL = 0.9;
/** Submissions up to this size lie in records, larger ones in an object, bytes. */
const RECORD_SUBMISSION_BYTES = 500_000;
/** Bytes and records of one transaction. */
const TRANSACTION_BYTES = 600_000;
const TRANSACTION_RECORDS = 80;
const FIRST_EPOCH = 1;

/** A submission to accept. */
export interface SubmittedJob {
  readonly jobId: string;
  readonly host: string;
  readonly path: string;
  readonly model: string;
  readonly tokens: number;
  readonly total: number;
  readonly submission: Buffer;
}

/** Whether an acceptance was the first, or found the job there already. */
export interface Acceptance {
  readonly head: JobHead;
  readonly isNew: boolean;
}

/** All heads, and the version of the store from which changes continue. */
export interface JobListing {
  readonly heads: readonly JobHead[];
  readonly version: number;
}

/** Results in order of position, each as JSON text. */
export interface ResultPage {
  readonly results: readonly string[];
}

/** Splits bytes into pieces of at most `size`. */
function pieces(bytes: Buffer, size: number): Buffer[] {
  const found: Buffer[] = [];
  for (let at = 0; at < bytes.length; at += size) found.push(bytes.subarray(at, at + size));
  return found;
}

/** Turns a stored head into a `JobHead`. */
export function toJobHead(record: Pick<StoredRecord, 'key' | 'value' | 'version'>): JobHead | undefined {
  const parsed = parseJobRecord(record.value);
  return parsed && { jobId: record.key, record: parsed, version: record.version };
}

/** Access to jobs. */
export class JobRepository {
  private readonly pieceBytes: number;

  constructor(private readonly store: RecordStore) {
    this.pieceBytes = Math.floor(store.limits.recordBytes * FILL);
  }

  /** Accepts a job once. A failure whose effect is `unknown` may still become an accepted job. */
  async accept(
    job: SubmittedJob,
    owner: JobOwner,
    deadlineMs: number,
  ): Promise<Result<Acceptance, StateError>> {
    const stored = await this.storeSubmission(job);
    if (stored.isErr()) return err(stored.error);
    const record: JobRecord = {
      state: 'open',
      owner,
      epoch: FIRST_EPOCH,
      host: job.host,
      path: job.path,
      model: job.model,
      tokens: job.tokens,
      total: job.total,
      chunks: stored.value.writes.length,
      object: stored.value.object,
      acceptedAtMs: Math.round(this.store.nowMs()),
    };
    return this.insert(job.jobId, record, stored.value.writes, deadlineMs);
  }

  /** The head of a job, `undefined` when there is none. */
  async read(jobId: string): Promise<Result<JobHead | undefined, StateError>> {
    const page = await this.store.scan({ ...headAddress(jobId), from: jobId, limit: 1 });
    if (page.isErr()) return err(new StateError('unavailable', 'none', page.error.message));
    const [record] = page.value.records;
    return ok(record?.key === jobId ? toJobHead(record) : undefined);
  }

  /** All jobs. */
  async list(): Promise<Result<JobListing, StateError>> {
    const heads: JobHead[] = [];
    let version = Number.POSITIVE_INFINITY;
    for (const partition of JOB_PARTITIONS) {
      const records = await this.scanAll(JOB_TABLE, partition, undefined, undefined);
      if (records.isErr()) return err(records.error);
      version = Math.min(version, records.value.version);
      for (const record of records.value.records) {
        const head = toJobHead(record);
        if (head) heads.push(head);
      }
    }
    return ok({ heads, version });
  }

  /** The submission of a job. */
  async submission(head: JobHead): Promise<Result<Buffer, StateError>> {
    const { jobId, record } = head;
    if (record.object !== undefined) return this.objectSubmission(record.object);
    const from = submissionAddress(jobId, 0).key;
    const records = await this.scanAll(SUBMISSION_TABLE, partitionOf(jobId), from, rangeEnd(jobId));
    if (records.isErr()) return err(records.error);
    if (records.value.records.length !== record.chunks)
      return err(new StateError('not-found', 'none', `submission of ${jobId} is not whole`));
    return ok(Buffer.concat(records.value.records.map((chunk) => chunk.value)));
  }

  /** Makes `owner` the owner, if the head is still the one given. */
  claim(head: JobHead, owner: JobOwner, deadlineMs: number): Promise<Result<JobHead, StateError>> {
    return this.replaceHead(head, { ...head.record, owner, epoch: head.record.epoch + 1 }, deadlineMs);
  }

  /** Hands a job back, so that any node may claim it at once. */
  release(head: JobHead, deadlineMs: number): Promise<Result<JobHead, StateError>> {
    return this.replaceHead(head, { ...head.record, owner: null }, deadlineMs);
  }

  /**
   * Ends a job. One that is not known is marked as ended all the same: a submission of it may still be under way
   * without an answer.
   */
  async end(jobId: string, deadlineMs: number): Promise<Result<JobHead, StateError>> {
    for (;;) {
      const found = await this.read(jobId);
      if (found.isErr()) {
        if (monotonicMs() > deadlineMs) return err(found.error);
        continue;
      }
      if (found.value?.record.state === 'ended') return ok(found.value);
      const ended = found.value
        ? await this.replaceHead(found.value, { ...found.value.record, state: 'ended' }, deadlineMs)
        : await this.insertEnded(jobId, deadlineMs);
      if (ended.isOk() || ended.error.failure !== 'conflict') return ended;
    }
  }

  /**
   * Lists results from `firstPosition` on, under the owner's head. Repeats write the same bytes at the same positions,
   * so a lost answer does no harm.
   */
  async appendResults(
    head: JobHead,
    firstPosition: number,
    results: readonly string[],
    deadlineMs: number,
    signal: AbortSignal,
  ): Promise<Result<void, StateError>> {
    const writes = results.flatMap((result, index) =>
      this.resultWrites(head.jobId, firstPosition + index, result),
    );
    const first = writes[0];
    if (!first) return ok(undefined);
    const outcome = await settle(
      this.store,
      {
        conditions: [
          { ...headAddress(head.jobId), version: head.version },
          { table: first.table, partition: first.partition, key: first.key, version: 0 },
        ],
        writes,
        removals: [],
      },
      {
        deadlineMs,
        signal,
        isApplied: (current) =>
          current.some((record) => record.key === first.key && record.value.equals(first.value)),
      },
    );
    return outcome.map(() => undefined);
  }

  /** How many of `results` fit one transaction, at least one. */
  fittingResults(results: readonly string[]): number {
    let bytes = 0;
    let records = 0;
    let count = 0;
    for (const result of results) {
      bytes += result.length;
      records += Math.ceil(result.length / this.pieceBytes);
      if (count > 0 && (bytes > TRANSACTION_BYTES || records > TRANSACTION_RECORDS)) break;
      count += 1;
    }
    return count;
  }

  /** Results from `position` on, as many as one page holds. */
  async results(jobId: string, position: number): Promise<Result<ResultPage, StateError>> {
    const page = await this.store.scan({
      table: RESULT_TABLE,
      partition: partitionOf(jobId),
      from: resultRangeStart(jobId, position),
      until: rangeEnd(jobId),
    });
    if (page.isErr()) return err(new StateError('unavailable', 'none', page.error.message));
    return ok({ results: assembleResults(page.value.records, position) });
  }

  /** All results of a job. */
  async allResults(jobId: string): Promise<Result<string[], StateError>> {
    const all: string[] = [];
    for (;;) {
      const page = await this.results(jobId, all.length);
      if (page.isErr()) return err(page.error);
      if (page.value.results.length === 0) return ok(all);
      all.push(...page.value.results);
    }
  }

  /** Keeps texts of running items, under the owner's head. What does not fit is left for the next time. */
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
      if (writes.length >= TRANSACTION_RECORDS || bytes > TRANSACTION_BYTES) break;
      writes.push({ ...textAddress(head.jobId, itemId), value });
      saved.push(itemId);
    }
    const condition = { ...headAddress(head.jobId), version: head.version };
    const outcome = await this.store.transact({ conditions: [condition], writes, removals: [] });
    if (outcome.isOk()) return ok(saved);
    const { failure, effect, message } = outcome.error;
    return err(new StateError(failure === 'conflict' ? 'lease-lost' : 'unavailable', effect, message));
  }

  /** Texts that were kept, by item. */
  async texts(jobId: string): Promise<Result<Map<string, PartialText>, StateError>> {
    const records = await this.scanAll(TEXT_TABLE, partitionOf(jobId), `${jobId}/`, rangeEnd(jobId));
    return records.map((found) => {
      const texts = new Map<string, PartialText>();
      for (const record of found.records)
        texts.set(
          record.key.slice(jobId.length + 1),
          JSON.parse(record.value.toString('utf8')) as PartialText,
        );
      return texts;
    });
  }

  /** Removes everything of a job whose results are no longer owed. */
  async remove(head: JobHead): Promise<void> {
    const { jobId, record } = head;
    if (record.object !== undefined) await this.store.removeObject(record.object);
    for (const table of [TEXT_TABLE, SUBMISSION_TABLE, RESULT_TABLE]) {
      const records = await this.scanAll(table, partitionOf(jobId), `${jobId}/`, rangeEnd(jobId));
      if (records.isErr()) return;
      for (let at = 0; at < records.value.records.length; at += TRANSACTION_RECORDS) {
        const removals = records.value.records.slice(at, at + TRANSACTION_RECORDS);
        const outcome = await this.store.transact({ conditions: [], writes: [], removals });
        if (outcome.isErr()) return;
      }
    }
    const condition = { ...headAddress(jobId), version: head.version };
    await this.store.transact({ conditions: [condition], writes: [], removals: [headAddress(jobId)] });
  }

  private async insert(
    jobId: string,
    record: JobRecord,
    writes: readonly RecordWrite[],
    deadlineMs: number,
  ): Promise<Result<Acceptance, StateError>> {
    const address = headAddress(jobId);
    const value = Buffer.from(JSON.stringify(record), 'utf8');
    const outcome = await settle(
      this.store,
      { conditions: [{ ...address, version: 0 }], writes: [{ ...address, value }, ...writes], removals: [] },
      { deadlineMs, isApplied: () => false },
    );
    if (outcome.isOk()) return ok({ head: { jobId, record, version: outcome.value }, isNew: true });
    if (!(outcome.error instanceof ConflictError)) return err(outcome.error);
    const existing = outcome.error.current.find((row) => row.key === jobId);
    const head = existing && toJobHead(existing);
    if (!head) return err(new StateError('unavailable', 'unknown', 'the job changed while it was accepted'));
    if (head.record.total > 0 || record.total === 0) return ok({ head, isNew: false });
    return this.completeEnded(head, record, writes, deadlineMs);
  }

  /** Adds the submission to a job that was ended before it was accepted; it stays ended. */
  private async completeEnded(
    head: JobHead,
    record: JobRecord,
    writes: readonly RecordWrite[],
    deadlineMs: number,
  ): Promise<Result<Acceptance, StateError>> {
    const address = headAddress(head.jobId);
    const ended: JobRecord = { ...record, state: 'ended', owner: null };
    const value = Buffer.from(JSON.stringify(ended), 'utf8');
    const outcome = await settle(
      this.store,
      {
        conditions: [{ ...address, version: head.version }],
        writes: [{ ...address, value }, ...writes],
        removals: [],
      },
      { deadlineMs, isApplied: (current) => current.some((row) => row.value.equals(value)) },
    );
    return outcome.map((version) => ({ head: { jobId: head.jobId, record: ended, version }, isNew: false }));
  }

  private async insertEnded(jobId: string, deadlineMs: number): Promise<Result<JobHead, StateError>> {
    const record: JobRecord = {
      state: 'ended',
      owner: null,
      epoch: 0,
      host: '',
      path: '',
      model: '',
      tokens: 0,
      total: 0,
      chunks: 0,
      acceptedAtMs: Math.round(this.store.nowMs()),
    };
    const inserted = await this.insert(jobId, record, [], deadlineMs);
    return inserted.andThen(({ head }) =>
      head.record.state === 'ended' ? ok(head) : err(new StateError('conflict', 'none', 'the job appeared')),
    );
  }

  private async replaceHead(
    head: JobHead,
    record: JobRecord,
    deadlineMs: number,
  ): Promise<Result<JobHead, StateError>> {
    const address = headAddress(head.jobId);
    const value = Buffer.from(JSON.stringify(record), 'utf8');
    let appliedVersion = 0;
    const outcome = await settle(
      this.store,
      {
        conditions: [{ ...address, version: head.version }],
        writes: [{ ...address, value }],
        removals: [],
      },
      {
        deadlineMs,
        isApplied: (current) => {
          const own = current.find((row) => row.key === head.jobId && row.value.equals(value));
          appliedVersion = own?.version ?? 0;
          return own !== undefined;
        },
      },
    );
    return outcome.map((version) => ({ jobId: head.jobId, record, version: version || appliedVersion }));
  }

  private async storeSubmission(
    job: SubmittedJob,
  ): Promise<Result<{ writes: RecordWrite[]; object?: string }, StateError>> {
    if (job.submission.length <= RECORD_SUBMISSION_BYTES) {
      const chunks = pieces(job.submission, this.pieceBytes);
      return ok({
        writes: chunks.map((value, index) => ({ ...submissionAddress(job.jobId, index), value })),
      });
    }
    const object = `job-${job.jobId}-${uniqueId()}`;
    const outcome = await this.store.putObject(object, job.submission);
    if (outcome.isErr()) return err(new StateError('unavailable', 'none', outcome.error.message));
    return ok({ writes: [], object });
  }

  private async objectSubmission(name: string): Promise<Result<Buffer, StateError>> {
    const found = await this.store.getObject(name);
    if (found.isErr()) return err(new StateError('unavailable', 'none', found.error.message));
    return found.value ? ok(found.value) : err(new StateError('not-found', 'none', `object ${name}`));
  }

  private resultWrites(jobId: string, position: number, result: string): RecordWrite[] {
    const chunks = pieces(Buffer.from(result, 'utf8'), this.pieceBytes);
    return chunks.map((value, index) => ({
      ...resultAddress(jobId, position, index, chunks.length),
      value,
    }));
  }

  private async scanAll(
    table: string,
    partition: string,
    from: string | undefined,
    until: string | undefined,
  ): Promise<Result<{ records: StoredRecord[]; version: number }, StateError>> {
    const records: StoredRecord[] = [];
    let version = Number.POSITIVE_INFINITY;
    let next = from;
    for (;;) {
      const page = await this.store.scan({ table, partition, from: next, until });
      if (page.isErr()) return err(new StateError('unavailable', 'none', page.error.message));
      records.push(...page.value.records);
      version = Math.min(version, page.value.version);
      const last = records.at(-1);
      if (!page.value.hasMore || !last) return ok({ records, version });
      next = `${last.key}\0`;
    }
  }
}

/** Joins the chunks of results; stops before the first position that is not whole. */
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
