/** Batch jobs as operators see them, read from the store without a call to any node. */

import { ok, type Result } from 'neverthrow';
import { MILLISECONDS_PER_SECOND } from '../common/clock.js';
import type { JobHead, JobRepository } from '../state/service/jobs/index.js';
import type { StateError } from '../state/state-error.js';
import { formatTable } from './output.js';

/** Summary of a job. */
export interface JobSummary {
  readonly id: string;
  readonly state: 'open' | 'ended';
  /** Node that runs it, empty when none does. */
  readonly owner: string;
  /** Grows with each change of the owner. */
  readonly epoch: number;
  readonly model: string;
  readonly items: number;
  readonly ageSeconds: number;
}

/** A job with counts of its items by state. */
export interface JobDetail extends JobSummary {
  readonly listed: number;
  readonly dead: number;
  /** Items whose text so far is kept for the next owner. */
  readonly keptTexts: number;
}

function toSummary({ jobId, record }: JobHead, nowMs: number): JobSummary {
  return {
    id: jobId,
    state: record.state,
    owner: record.owner?.node ?? '',
    epoch: record.epoch,
    model: record.model,
    items: record.total,
    ageSeconds: Math.round((nowMs - record.acceptedAtMs) / MILLISECONDS_PER_SECOND),
  };
}

/** All jobs, the newest first. `nowMs`, the store's time in milliseconds, is read after the jobs. */
export async function listJobs(
  repository: JobRepository,
  nowMs: () => number,
): Promise<Result<JobSummary[], StateError>> {
  const listing = await repository.list();
  return listing.map(({ heads }) =>
    heads.map((head) => toSummary(head, nowMs())).sort((left, right) => left.ageSeconds - right.ageSeconds),
  );
}

/** One job, `undefined` when there is none. */
export async function showJob(
  repository: JobRepository,
  jobId: string,
  nowMs: () => number,
): Promise<Result<JobDetail | undefined, StateError>> {
  const head = await repository.read(jobId);
  if (head.isErr()) return head.map(() => undefined);
  if (!head.value) return ok(undefined);
  const account = toSummary(head.value, nowMs());
  const results = await repository.contents.allResults(jobId);
  if (results.isErr()) return results.map(() => undefined);
  const texts = await repository.contents.texts(jobId);
  return texts.map(({ size }) => ({
    ...account,
    listed: results.value.length,
    dead: results.value.filter((result) => (JSON.parse(result) as { state: string }).state === 'dead').length,
    keptTexts: size,
  }));
}

/** Jobs as an aligned table. */
export function jobTable(jobs: readonly JobSummary[]): string {
  const head = ['JOB', 'STATE', 'OWNER', 'EPOCH', 'MODEL', 'ITEMS', 'AGE S'];
  const rows = jobs.map(({ id, state, owner, epoch, model, items, ageSeconds }) => [
    id,
    state,
    owner || '-',
    String(epoch),
    model,
    String(items),
    String(ageSeconds),
  ]);
  return formatTable(head, rows);
}

/** One job as an aligned table of fields. */
export function jobDetailTable(job: JobDetail): string {
  return formatTable(
    ['FIELD', 'VALUE'],
    Object.entries(job).map(([field, value]) => [field, String(value)]),
  );
}
