/**
 * Stores batch jobs: acceptance, ownership and end. Each change is one transaction conditional on the version
 * of the job's head, so that only one of two writers succeeds. Transactions without an answer are repeated
 * until their outcome is known; if it is unknown at the deadline, the error's effect is `unknown`.
 */
import { err, ok, type Result } from 'neverthrow';
import { monotonicMs } from '../../../common/clock.js';
import type { RecordStore, RecordWrite, StoredRecord } from '../../../protocol/record-store.js';
import { StateError } from '../../state-error.js';
import { readCurrent } from '../../store/index.js';
import {
  ConflictError,
  ignoreUnreadable,
  type ReportUnreadable,
  readRange,
  transactWithRetry,
} from '../store/index.js';
import { JobContents } from './job-contents.js';
import {
  belongsTo,
  headAddress,
  isJobPartition,
  JOB_PARTITIONS,
  JOB_TABLE,
  type JobHead,
  type JobRecord,
  type OwnerReference,
  parseJobRecord,
} from './job-record.js';
import type { SubmittedJob } from './submitted-job.js';

const FIRST_EPOCH = 1;

/** `isNew` is false if the job had been accepted before. */
export interface Acceptance {
  readonly head: JobHead;
  readonly isNew: boolean;
}

/** All heads, and the store version from which the change feed continues. */
export interface JobListing {
  readonly heads: readonly JobHead[];
  readonly version: number;
}

export class JobRepository {
  readonly contents: JobContents;

  constructor(
    private readonly store: RecordStore,
    private readonly reportUnreadable: ReportUnreadable = ignoreUnreadable,
  ) {
    this.contents = new JobContents(store, reportUnreadable);
  }

  /** The head in a record; `undefined`, as without the record, after a report if it is unreadable. */
  toHead(record: StoredRecord): JobHead | undefined {
    const parsed = parseJobRecord(record.value);
    if (parsed.isOk()) return { jobId: record.key, record: parsed.value, version: record.version };
    if (isJobPartition(record.partition)) this.reportUnreadable(record, parsed.error);
    return undefined;
  }

  /** Accepts a job once. Safe to retry; after an error with effect `unknown` the job may be accepted. */
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
      ...stored.value.reference,
      acceptedAtMs: Math.round(this.store.nowMs()),
    };
    return this.insert(job.jobId, record, stored.value.writes, deadlineMs);
  }

  /**
   * Returns the head of a job, `undefined` if there is none. Scans may be stale, so the absence of a head is
   * confirmed by a conditional transaction.
   */
  async read(jobId: string): Promise<Result<JobHead | undefined, StateError>> {
    const page = await this.store.scan({ ...headAddress(jobId), from: jobId, limit: 1 });
    if (page.isErr() && page.error.failure !== 'stale')
      return err(new StateError('unavailable', 'none', page.error.message));
    const [record] = page.isOk() ? page.value.records : [];
    return record?.key === jobId ? ok(this.toHead(record)) : this.readCurrentHead(jobId);
  }

  async list(): Promise<Result<JobListing, StateError>> {
    const heads: JobHead[] = [];
    let version = Number.POSITIVE_INFINITY;
    for (const partition of JOB_PARTITIONS) {
      const records = await readRange(this.store, JOB_TABLE, partition);
      if (records.isErr()) return err(records.error);
      version = Math.min(version, records.value.version);
      for (const record of records.value.records) {
        const head = this.toHead(record);
        if (head) heads.push(head);
      }
    }
    return ok({ heads, version });
  }

  /** Makes `owner` the owner, unless the head has changed. */
  claim(head: JobHead, owner: OwnerReference, deadlineMs: number): Promise<Result<JobHead, StateError>> {
    return this.replaceHead(head, { ...head.record, owner, epoch: head.record.epoch + 1 }, deadlineMs);
  }

  /** Removes the owner, so that any node may claim the job at once. */
  release(head: JobHead, deadlineMs: number): Promise<Result<JobHead, StateError>> {
    return this.replaceHead(head, { ...head.record, owner: null }, deadlineMs);
  }

  /**
   * Ends a job of `tenant`; `undefined` if it belongs to another. An unknown job is marked as ended too, as
   * its submission may still be in progress. Safe to retry.
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

  /** Removes an expired job. After a failure its removal is only retried by a process that starts later. */
  async remove(head: JobHead): Promise<void> {
    if (!(await this.contents.removeAll(head))) return;
    const address = headAddress(head.jobId);
    await this.store.transact({
      conditions: [{ ...address, version: head.version }],
      writes: [],
      removals: [address],
    });
  }

  /** Returns `retry` if the head could not be read and the deadline is not over, or if it has changed. */
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

  /** Returns the head of a job, `undefined` if there is none; never stale, at the cost of a transaction. */
  async readCurrentHead(jobId: string): Promise<Result<JobHead | undefined, StateError>> {
    const current = await readCurrent(this.store, [headAddress(jobId)]);
    return current.map(({ records: [record] }) => record && this.toHead(record));
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
    const head = existing && this.toHead(existing);
    if (!head)
      return err(
        new StateError('unavailable', 'unknown', 'the job was changed concurrently during its acceptance'),
      );
    if (!belongsTo(head, record.tenant))
      return err(new StateError('invalid', 'none', 'the job ID belongs to another tenant'));
    if (head.record.total > 0 || record.total === 0) return ok({ head, isNew: false });
    return this.addSubmissionToEnded(head, record, writes, deadlineMs);
  }

  /** Stores the submission of a job that was ended before it arrived. The job stays ended. */
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
      head.record.state === 'ended'
        ? ok(head)
        : err(new StateError('conflict', 'none', 'the job was submitted concurrently')),
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
