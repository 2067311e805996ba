/** Lists the results of one job: in batches, at consecutive positions, under the owner's head. */
import { monotonicMs, sleep } from '../common/clock.js';
import type { DecisionLogger } from '../common/decision-logger.js';
import type { ServiceMetrics } from '../common/service-metrics.js';
import type { JobHead } from '../state/job-record.js';
import type { JobRepository } from '../state/job-repository.js';
import type { ResultCache } from '../state/result-cache.js';

/** Results that finish within this time share a transaction, milliseconds. */
const GATHER_MS = 15;
/** One effort to list a batch; it is repeated until the job is stopped. */
const EFFORT_MS = 5_000;
const MILLISECONDS_PER_SECOND = 1000;

/** What a lister works with. */
export interface ListerServices {
  readonly repository: JobRepository;
  readonly cache: ResultCache;
  readonly metrics: ServiceMetrics;
  readonly logger: DecisionLogger;
}

/** The lister of one job. */
export class ResultLister {
  private readonly waiting: string[] = [];
  private wake: (() => void) | undefined;

  constructor(
    private readonly services: ListerServices,
    private readonly head: JobHead,
    private nextPosition: number,
    private readonly acceptedAtMs: number,
    private readonly signal: AbortSignal,
  ) {
    signal.addEventListener('abort', () => this.wake?.(), { once: true });
  }

  /** Takes a result; it is listed soon. */
  add(result: string): void {
    this.waiting.push(result);
    this.wake?.();
  }

  /** Lists until `total` positions are taken or the job is stopped. Returns false when ownership was lost. */
  async run(total: number): Promise<boolean> {
    while (this.nextPosition < total && !this.signal.aborted) {
      if (this.waiting.length === 0) await this.untilWoken();
      else await sleep(GATHER_MS, this.signal);
      if (this.waiting.length > 0 && !(await this.listBatch())) return false;
    }
    return true;
  }

  private untilWoken(): Promise<void> {
    return new Promise((resolve) => {
      this.wake = () => {
        this.wake = undefined;
        resolve();
      };
    });
  }

  private async listBatch(): Promise<boolean> {
    const { repository, cache } = this.services;
    const batch = this.waiting.slice(0, repository.contents.fittingResults(this.waiting));
    const startedAt = monotonicMs();
    const deadline = startedAt + EFFORT_MS;
    const listed = await repository.contents.appendResults(
      this.head,
      this.nextPosition,
      batch,
      deadline,
      this.signal,
    );
    this.report(batch.length, listed.isOk() ? 'listed' : listed.error.failure, monotonicMs() - startedAt);
    if (listed.isErr()) return listed.error.failure !== 'conflict' && listed.error.failure !== 'invalid';
    cache.append(this.head.jobId, this.nextPosition, batch);
    this.nextPosition += batch.length;
    this.waiting.splice(0, batch.length);
    return true;
  }

  private report(count: number, outcome: string, tookMs: number): void {
    const ageSeconds = (monotonicMs() - this.acceptedAtMs) / MILLISECONDS_PER_SECOND;
    if (outcome === 'listed')
      for (let index = 0; index < count; index += 1) this.services.metrics.listedSeconds.observe(ageSeconds);
    this.services.logger.record({
      event: 'results-listed',
      jobId: this.head.jobId,
      firstPosition: this.nextPosition,
      count,
      outcome,
      epoch: this.head.record.epoch,
      tookMs: Math.round(tookMs),
    });
  }
}
