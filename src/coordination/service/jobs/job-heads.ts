/**
 * The heads of all jobs as this node last saw them, from the feed and from its own reads and writes, and what
 * follows from them: owners, the newest job of a model, demand. Owns no job; a head may be older than the
 * store's.
 */
import type { JobHead, OwnerReference } from '../../../state/service/jobs/index.js';

/** Time over which demand is counted, ms. Chosen, not measured: covers jobs that overlap. */
const DEMAND_WINDOW_MS = 30_000;

/** All jobs that a node knows. */
export class JobHeads {
  private readonly heads = new Map<string, JobHead>();
  /** Observed time at which each head was learnt, milliseconds. */
  private readonly observedAtMs = new Map<string, number>();

  /** `storeNowMs` is the store's clock. */
  constructor(private readonly storeNowMs: () => number) {}

  /** The head of a job as last seen. */
  get(jobId: string): JobHead | undefined {
    return this.heads.get(jobId);
  }

  get ids(): string[] {
    return [...this.heads.keys()];
  }

  get openJobs(): JobHead[] {
    return [...this.heads.values()].filter(({ record }) => record.state === 'open');
  }

  /** Keeps a head; false when the one known is as new. */
  set(head: JobHead, observedTimeMs: number): boolean {
    const known = this.heads.get(head.jobId);
    if (known && known.version >= head.version) return false;
    this.heads.set(head.jobId, head);
    this.observedAtMs.set(head.jobId, observedTimeMs);
    return true;
  }

  remove(jobId: string): void {
    this.heads.delete(jobId);
    this.observedAtMs.delete(jobId);
  }

  /** Observed time at which the head was learnt, milliseconds; 0 when it is unknown. */
  observedAt(jobId: string): number {
    return this.observedAtMs.get(jobId) ?? 0;
  }

  /** Owners of open jobs. */
  get owners(): OwnerReference[] {
    return this.openJobs.flatMap(({ record }) => record.owner ?? []);
  }

  /** The job of a model that was accepted last. */
  newestOf(model: string): JobHead | undefined {
    let newest: JobHead | undefined;
    for (const head of this.heads.values())
      if (head.record.model === model && head.record.acceptedAtMs >= (newest?.record.acceptedAtMs ?? 0))
        newest = head;
    return newest;
  }

  /** Tokens of the recent jobs of a model. */
  recentTokensOf(model: string): number {
    return this.recentJobsOf(model).reduce((sum, { record }) => sum + record.tokens, 0);
  }

  /** Items of the largest recent job of a model; 0 without one. */
  maxRecentItemsOf(model: string): number {
    return this.recentJobsOf(model).reduce((largest, { record }) => Math.max(largest, record.total), 0);
  }

  private recentJobsOf(model: string): JobHead[] {
    const sinceMs = this.storeNowMs() - DEMAND_WINDOW_MS;
    return [...this.heads.values()].filter(
      ({ record }) => record.model === model && record.acceptedAtMs >= sinceMs,
    );
  }
}
