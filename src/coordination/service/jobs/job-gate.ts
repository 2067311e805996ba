/**
 * Decides whether work may begin for a job, at the moment at which it would begin: a call that was queued or
 * delayed, or the copy of the job that a caller goes by, may be older than the end of the job.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { JobHeads } from './job-heads.js';

/**
 * `unconfirmed`: the store answers this node, but the heads are too old to exclude that the job has ended.
 * Unknown jobs are `open`: their head may not have arrived yet.
 */
export type JobGateVerdict = 'open' | 'ended' | 'unconfirmed';

export interface JobGateServices {
  readonly heads: Pick<JobHeads, 'hasEnded' | 'ageOf'>;
  readonly isStoreAnswering: () => boolean;
  /** Age of the heads up to which they count as current, milliseconds. */
  readonly maxAgeMs: () => number;
  /** Reads the head of one job, which confirms or ends it. Never rejects. */
  readonly refresh: (jobId: string) => Promise<void>;
}

/** Fraction of the maximum age from which the head of a job is read, so that work need not wait for it. */
const REFRESH_AGE_FRACTION = 0.75;

/** Interval at which outages are noticed while no work begins. */
const CHECK_INTERVAL_MS = 250;
/** After a process pause the store seems silent until its next answer; an outage lasts longer. */
const MIN_OUTAGE_MS = 500;

export class JobGate {
  private outageSinceMs: number | undefined;
  /** Jobs whose heads are being read. */
  private readonly refreshing = new Set<string>();

  constructor(
    private readonly services: JobGateServices,
    private readonly now: () => number = monotonicMs,
  ) {}

  /** Notices outages of the store until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.observe();
      await sleep(CHECK_INTERVAL_MS, signal);
    }
  }

  /** Work goes on while the store does not answer this node, as it must during an outage for all nodes. */
  check(jobId: string): JobGateVerdict {
    this.observe();
    const { heads, maxAgeMs } = this.services;
    if (heads.hasEnded(jobId)) return 'ended';
    const ageMs = heads.ageOf(jobId);
    if (ageMs > maxAgeMs() * REFRESH_AGE_FRACTION) void this.refresh(jobId);
    return ageMs <= maxAgeMs() || this.isOutage ? 'open' : 'unconfirmed';
  }

  /** The feed of all heads may be slow, or wait for a partition that cannot be read. */
  private async refresh(jobId: string): Promise<void> {
    if (this.refreshing.has(jobId) || !this.services.isStoreAnswering()) return;
    this.refreshing.add(jobId);
    await this.services.refresh(jobId);
    this.refreshing.delete(jobId);
  }

  private get isOutage(): boolean {
    return this.outageSinceMs !== undefined && this.now() - this.outageSinceMs >= MIN_OUTAGE_MS;
  }

  private observe(): void {
    if (this.services.isStoreAnswering()) this.outageSinceMs = undefined;
    else this.outageSinceMs ??= this.now();
  }
}
