/**
 * Decides when an open job that this process owns, but does not run, is to be run again. Every run that ends before its
 * job does is followed by another one, whatever ended it, since no other node claims a job whose owner sends heartbeats.
 */
import { exponentialBackoffMs } from '../../../common/backoff.js';
import { monotonicMs } from '../../../common/clock.js';
import type { JobRunEnd } from './job-run.js';

/** Jobs whose last run is known; the oldest are evicted first. */
const MAX_JOBS = 1_000;
/** First and longest pause after a run that the store ended, milliseconds. Doubles with each one in a row. */
const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5_000;

interface LastRun {
  readonly end: JobRunEnd;
  /** Runs in a row that the store ended: it rejected a write, or has no valid submission. */
  readonly failures: number;
  readonly endedAtMs: number;
}

export class RunRestarts {
  private readonly lastRuns = new Map<string, LastRun>();
  /** Version of the head under which each job was last run, by job ID. */
  private readonly headVersions = new Map<string, number>();

  constructor(private readonly now: () => number = monotonicMs) {}

  recordStart(jobId: string, headVersion: number): void {
    this.headVersions.delete(jobId);
    this.headVersions.set(jobId, headVersion);
    const [oldest] = this.headVersions.keys();
    if (this.headVersions.size > MAX_JOBS && oldest !== undefined) this.headVersions.delete(oldest);
  }

  /** Whether a job was run under this version of its head: writes of that run may still be executed. */
  wasRunUnder(jobId: string, headVersion: number): boolean {
    return this.headVersions.get(jobId) === headVersion;
  }

  recordEnd(jobId: string, end: JobRunEnd): void {
    const isFailure = end === 'write-rejected' || end === 'unreadable';
    const failures = isFailure ? (this.lastRuns.get(jobId)?.failures ?? 0) + 1 : 0;
    this.lastRuns.set(jobId, { end, failures, endedAtMs: this.now() });
  }

  /** Why a job without a run is to be run again, or `undefined` if all its results are listed or it must wait. */
  reasonToRestart(jobId: string): string | undefined {
    const last = this.lastRuns.get(jobId);
    if (!last) return 'not run here';
    if (last.end === 'finished') return undefined;
    const isDue = this.now() - last.endedAtMs >= backoffMs(last.failures);
    return isDue ? `the last run here ended: ${last.end}` : undefined;
  }

  /** Whether a job without a run will have to be run again, now or later. */
  isDue(jobId: string): boolean {
    return this.lastRuns.get(jobId)?.end !== 'finished';
  }

  /** Forgets how the last run of a job ended, since the job is gone. */
  forget(jobId: string): void {
    this.lastRuns.delete(jobId);
  }
}

function backoffMs(failures: number): number {
  return failures === 0 ? 0 : exponentialBackoffMs(INITIAL_BACKOFF_MS, failures - 1, MAX_BACKOFF_MS);
}
