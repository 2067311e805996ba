/** Lists batch jobs for operators. Reads the store directly, so that no node needs to be running. */

import { ok, type Result } from 'neverthrow';
import { MILLISECONDS_PER_SECOND } from '../common/clock.js';
import { type JobHead, type JobRepository, parseListedResult } from '../state/service/jobs/index.js';
import type { StateError } from '../state/state-error.js';
import { formatTable } from './output.js';

export interface JobSummary {
  readonly id: string;
  readonly state: 'open' | 'ended';
  /** ID of the node that runs the job; empty if no node does. */
  readonly owner: string;
  /** Incremented with each change of owner. */
  readonly epoch: number;
  readonly model: string;
  readonly items: number;
  readonly ageSeconds: number;
}

export interface JobDetail extends JobSummary {
  /** Items with a listed result, dead ones included. */
  readonly listed: number;
  readonly dead: number;
  /** Items whose partial text is stored, so that the next owner can resume them. */
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

/** All jobs, newest first. `nowMs` returns the store's time and is called after the jobs are read. */
export async function listJobs(
  repository: JobRepository,
  nowMs: () => number,
): Promise<Result<JobSummary[], StateError>> {
  const listing = await repository.list();
  return listing.map(({ heads }) =>
    heads.map((head) => toSummary(head, nowMs())).sort((left, right) => left.ageSeconds - right.ageSeconds),
  );
}

/** One job; `undefined` if it does not exist. */
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
    dead: results.value.filter((result) => parseListedResult(result)?.state === 'dead').length,
    keptTexts: size,
  }));
}

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

export function jobDetailTable(job: JobDetail): string {
  return formatTable(
    ['FIELD', 'VALUE'],
    Object.entries(job).map(([field, value]) => [field, String(value)]),
  );
}
