/**
 * Caches the heads (stored records) of all jobs as last seen in the change feed or in reads and writes of
 * this node, and derives owners, the newest job of a model, and recent demand from them. A cached head may be
 * older than the stored one.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { JobHead, OwnerReference } from '../../../state/service/jobs/index.js';

/** Age up to which jobs count as recent; covers jobs that overlap. */
const DEMAND_WINDOW_MS = 30_000;
/** Ended jobs that are kept besides those of the feed; the oldest are evicted first. */
const MAX_ENDED_IDS = 1_000;

export class JobHeads {
  private readonly heads = new Map<string, JobHead>();
  /** Observed time at which each head was last updated, milliseconds, by job ID. */
  private readonly observedAtMs = new Map<string, number>();
  /** Time up to which all changes are known, on the monotonic clock, milliseconds. */
  private currentAsOfMs = Number.NEGATIVE_INFINITY;
  /** Time at which each job was certainly open, from writes of this node, by job ID. */
  private readonly openAsOfMs = new Map<string, number>();
  private readonly endedIds = new Set<string>();

  /** `storeNowMs`: the store's clock. */
  constructor(private readonly storeNowMs: () => number) {}

  get(jobId: string): JobHead | undefined {
    return this.heads.get(jobId);
  }

  /** Records that all changes before `asOfMs` are known, on the monotonic clock. */
  confirm(asOfMs: number): void {
    this.currentAsOfMs = Math.max(this.currentAsOfMs, asOfMs);
  }

  /** Records that a job was open at `asOfMs`, since a write that requires it has succeeded. */
  confirmOpen(jobId: string, asOfMs: number): void {
    this.openAsOfMs.set(jobId, asOfMs);
  }

  /** Records that a job has ended or is gone, by a read that precedes the change in the feed. */
  confirmEnded(jobId: string): void {
    this.endedIds.add(jobId);
    const [oldest] = this.endedIds;
    if (this.endedIds.size > MAX_ENDED_IDS && oldest !== undefined) this.endedIds.delete(oldest);
  }

  /** Whether the job is known to have ended, or to be gone. */
  hasEnded(jobId: string): boolean {
    return this.endedIds.has(jobId) || this.heads.get(jobId)?.record.state === 'ended';
  }

  /** Time for which changes of a job may be unknown, milliseconds; infinite if nothing was confirmed. */
  ageOf(jobId: string): number {
    const openAsOfMs = this.openAsOfMs.get(jobId) ?? Number.NEGATIVE_INFINITY;
    return monotonicMs() - Math.max(this.currentAsOfMs, openAsOfMs);
  }

  get ids(): string[] {
    return [...this.heads.keys()];
  }

  get openJobs(): JobHead[] {
    return [...this.heads.values()].filter(({ record }) => record.state === 'open');
  }

  /** Stores a head. Returns false if the cached one is at least as new. */
  set(head: JobHead, observedTimeMs: number): boolean {
    const cached = this.heads.get(head.jobId);
    if (cached && cached.version >= head.version) return false;
    this.heads.set(head.jobId, head);
    this.observedAtMs.set(head.jobId, observedTimeMs);
    return true;
  }

  remove(jobId: string): void {
    this.heads.delete(jobId);
    this.openAsOfMs.delete(jobId);
    this.observedAtMs.delete(jobId);
  }

  /** Observed time at which the head was last updated, milliseconds; 0 if the job is unknown. */
  observedAt(jobId: string): number {
    return this.observedAtMs.get(jobId) ?? 0;
  }

  /** Owners of open jobs; an owner of several jobs is repeated. */
  get owners(): OwnerReference[] {
    return this.openJobs.flatMap(({ record }) => record.owner ?? []);
  }

  /** The most recently accepted job of a model. */
  newestOf(model: string): JobHead | undefined {
    let newest: JobHead | undefined;
    for (const head of this.heads.values())
      if (head.record.model === model && head.record.acceptedAtMs >= (newest?.record.acceptedAtMs ?? 0))
        newest = head;
    return newest;
  }

  /** Total tokens of the recent jobs of a model. */
  recentTokensOf(model: string): number {
    return this.recentJobsOf(model).reduce((sum, { record }) => sum + record.tokens, 0);
  }

  /** Number of items of the largest recent job of a model; 0 without one. */
  maxRecentItemsOf(model: string): number {
    return this.recentJobsOf(model).reduce((largest, { record }) => Math.max(largest, record.total), 0);
  }

  private recentJobsOf(model: string): JobHead[] {
    const minAcceptedAtMs = this.storeNowMs() - DEMAND_WINDOW_MS;
    return [...this.heads.values()].filter(
      ({ record }) => record.model === model && record.acceptedAtMs >= minAcceptedAtMs,
    );
  }
}
