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
  readonly heads: Pick<JobHeads, 'get' | 'ageOf'>;
  readonly isStoreAnswering: () => boolean;
  /** Age of the heads up to which they count as current, milliseconds. */
  readonly maxAgeMs: () => number;
}

/** Interval at which outages are noticed while no work begins. */
const CHECK_INTERVAL_MS = 250;
/** After a process pause the store seems silent until its next answer; an outage lasts longer. */
const MIN_OUTAGE_MS = 500;

export class JobGate {
  private outageSinceMs: number | undefined;

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

  /** Work goes on during an outage of the store: no end of a job can be acknowledged then. */
  check(jobId: string): JobGateVerdict {
    this.observe();
    const { heads, maxAgeMs } = this.services;
    if (heads.get(jobId)?.record.state === 'ended') return 'ended';
    return heads.ageOf(jobId) <= maxAgeMs() || this.isOutage ? 'open' : 'unconfirmed';
  }

  private get isOutage(): boolean {
    return this.outageSinceMs !== undefined && this.now() - this.outageSinceMs >= MIN_OUTAGE_MS;
  }

  private observe(): void {
    if (this.services.isStoreAnswering()) this.outageSinceMs = undefined;
    else this.outageSinceMs ??= this.now();
  }
}
