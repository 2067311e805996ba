/**
 * Heads of batch jobs in the record store: acceptance, ownership, end. Each change is one transaction
 * conditional on the head's version, so that of two writers one succeeds. A lost answer is settled by reading
 * whether the write was applied (`settle`); where that cannot be told by the deadline, the error's effect is
 * `unknown`.
 */
import { err, ok, type Result } from 'neverthrow';
import { monotonicMs } from '../../../common/clock.js';
import type { RecordStore, RecordWrite, StoredRecord } from '../../../protocol/record-store.js';
import { StateError } from '../../state-error.js';
import { readCurrent } from '../../store/index.js';
import { ConflictError, readRange, transactWithRetry } from '../store/index.js';
import { JobContents } from './job-contents.js';
import {
  belongsTo,
  headAddress,
  JOB_PARTITIONS,
  JOB_TABLE,
  type JobHead,
  type JobRecord,
  type OwnerReference,
  parseJobRecord,
} from './job-record.js';
import type { SubmittedJob } from './submitted-job.js';

const FIRST_EPOCH = 1;

/** An accepted job; `isNew` is false where it had been accepted before. */
export interface Acceptance {
  readonly head: JobHead;
  readonly isNew: boolean;
}

/** All heads, and the version of the store from which the feed of changes continues. */
export interface JobListing {
  readonly heads: readonly JobHead[];
  readonly version: number;
}

/** Turns a stored head into a `JobHead`. */
export function toJobHead(record: Pick<StoredRecord, 'key' | 'value' | 'version'>): JobHead | undefined {
  const parsed = parseJobRecord(record.value);
  return parsed && { jobId: record.key, record: parsed, version: record.version };
}

/** Access to jobs. */
export class JobRepository {
  /** Submissions, results and texts. */
  readonly contents: JobContents;

  constructor(private readonly store: RecordStore) {
    this.contents = new JobContents(store);
  }

  /** Accepts a job once. A retry is safe; after an error with effect `unknown` it may be accepted. */
  async accept(
    job: SubmittedJob,
    owner: OwnerReference | null,
    deadlineMs: number,
  ): Promise<Result<Acceptance, StateError>> {
    const stored = await this.contents.storeSubmission(job);
    if (stored.isErr()) return err(stored.error);
    const record: JobRecord = {
      state: 'open',
      owner,
      epoch: FIRST_EPOCH,
      host: job.host,
      path: job.path,
      tenant: job.tenant,
      model: job.model,
      tokens: job.tokens,
      total: job.total,
      chunks: stored.value.writes.length,
      object: stored.value.object,
      acceptedAtMs: Math.round(this.store.nowMs()),
    };
    return this.insert(job.jobId, record, stored.value.writes, deadlineMs);
  }

  /**
   * The head of a job, `undefined` when there is none. Scans may be stale, so the absence of a head is
   * confirmed by a conditional transaction: another node may have accepted the job since.
   */
  async read(jobId: string): Promise<Result<JobHead | undefined, StateError>> {
    const page = await this.store.scan({ ...headAddress(jobId), from: jobId, limit: 1 });
    if (page.isErr() && page.error.failure !== 'stale')
      return err(new StateError('unavailable', 'none', page.error.message));
    const [record] = page.isOk() ? page.value.records : [];
    return record?.key === jobId ? ok(toJobHead(record)) : this.readCurrentHead(jobId);
  }

  /** All jobs. */
  async list(): Promise<Result<JobListing, StateError>> {
    const heads: JobHead[] = [];
    let version = Number.POSITIVE_INFINITY;
    for (const partition of JOB_PARTITIONS) {
      const records = await readRange(this.store, JOB_TABLE, partition);
      if (records.isErr()) return err(records.error);
      version = Math.min(version, records.value.version);
      for (const record of records.value.records) {
        const head = toJobHead(record);
        if (head) heads.push(head);
      }
    }
    return ok({ heads, version });
  }

  /** Makes `owner` the owner, if the head has not changed since. */
  claim(head: JobHead, owner: OwnerReference, deadlineMs: number): Promise<Result<JobHead, StateError>> {
    return this.replaceHead(head, { ...head.record, owner, epoch: head.record.epoch + 1 }, deadlineMs);
  }

  /** Hands a job back, so that any node may claim it at once. */
  release(head: JobHead, deadlineMs: number): Promise<Result<JobHead, StateError>> {
    return this.replaceHead(head, { ...head.record, owner: null }, deadlineMs);
  }

  /**
   * Ends a job of `tenant`; `undefined` when it is another's. An unknown job is marked as ended too: a
   * submission of it may still be under way. A retry is safe.
   */
  async end(
    jobId: string,
    tenant: string | undefined,
    deadlineMs: number,
  ): Promise<Result<JobHead | undefined, StateError>> {
    for (;;) {
      const ended = await this.tryEnd(jobId, tenant, deadlineMs);
      if (ended !== 'retry') return ended;
    }
  }

  /** Removes a job that need not be readable any more. After a failure the next process retries. */
  async remove(head: JobHead): Promise<void> {
    if (!(await this.contents.removeAll(head))) return;
    const address = headAddress(head.jobId);
    await this.store.transact({
      conditions: [{ ...address, version: head.version }],
      writes: [],
      removals: [address],
    });
  }

  /** `retry` when the head could not be read before the deadline, or has changed since. */
  private async tryEnd(
    jobId: string,
    tenant: string | undefined,
    deadlineMs: number,
  ): Promise<Result<JobHead | undefined, StateError> | 'retry'> {
    const found = await this.read(jobId);
    if (found.isErr()) return monotonicMs() > deadlineMs ? err(found.error) : 'retry';
    const head = found.value;
    if (head && !belongsTo(head, tenant)) return ok(undefined);
    if (head?.record.state === 'ended') return ok(head);
    const ended = head
      ? await this.replaceHead(head, { ...head.record, state: 'ended' }, deadlineMs)
      : await this.insertEnded(jobId, tenant, deadlineMs);
    return ended.isErr() && ended.error.failure === 'conflict' ? 'retry' : ended;
  }

  private async readCurrentHead(jobId: string): Promise<Result<JobHead | undefined, StateError>> {
    const current = await readCurrent(this.store, [headAddress(jobId)]);
    return current.map(({ records: [record] }) => record && toJobHead(record));
  }

  private async insert(
    jobId: string,
    record: JobRecord,
    writes: readonly RecordWrite[],
    deadlineMs: number,
  ): Promise<Result<Acceptance, StateError>> {
    const address = headAddress(jobId);
    const value = Buffer.from(JSON.stringify(record), 'utf8');
    const outcome = await transactWithRetry(
      this.store,
      { conditions: [{ ...address, version: 0 }], writes: [{ ...address, value }, ...writes], removals: [] },
      { deadlineMs, isApplied: () => false },
    );
    if (outcome.isOk()) return ok({ head: { jobId, record, version: outcome.value }, isNew: true });
    if (!(outcome.error instanceof ConflictError)) return err(outcome.error);
    const existing = outcome.error.current.find((row) => row.key === jobId);
    const head = existing && toJobHead(existing);
    if (!head) return err(new StateError('unavailable', 'unknown', 'the job changed while it was accepted'));
    if (!belongsTo(head, record.tenant))
      return err(new StateError('invalid', 'none', 'the identifier is that of another tenant'));
    if (head.record.total > 0 || record.total === 0) return ok({ head, isNew: false });
    return this.addSubmissionToEnded(head, record, writes, deadlineMs);
  }

  /** Adds the submission to a job that was ended before it was accepted; it stays ended. */
  private async addSubmissionToEnded(
    head: JobHead,
    record: JobRecord,
    writes: readonly RecordWrite[],
    deadlineMs: number,
  ): Promise<Result<Acceptance, StateError>> {
    const address = headAddress(head.jobId);
    const ended: JobRecord = { ...record, state: 'ended', owner: null };
    const value = Buffer.from(JSON.stringify(ended), 'utf8');
    const outcome = await transactWithRetry(
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

  private async insertEnded(
    jobId: string,
    tenant: string | undefined,
    deadlineMs: number,
  ): Promise<Result<JobHead, StateError>> {
    const record: JobRecord = {
      state: 'ended',
      owner: null,
      epoch: 0,
      host: '',
      path: '',
      tenant,
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
    const outcome = await transactWithRetry(
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
}
