/**
 * Appends the results of one job to its list in the store: in batches, at consecutive positions, conditional
 * on the owner's head. A batch that the store does not answer is retried unchanged until the job is stopped: it
 * may have been listed, so that another batch at its position could fail on it.
 *
 * A submitter continues only when all groups that it waits for are complete. A result listed by itself would
 * end a waiting read, and later results would then wait for the next read. Results are therefore batched until
 * the submitter has everything it waits for, or until they are due (docs/design/batch-jobs.md).
 */
import { type Clock, MILLISECONDS_PER_SECOND, SYSTEM_CLOCK } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { JobResult } from '../../../protocol/service/batch-job.js';
import type { JobHead, JobRepository, ResultCache } from '../../../state/service/jobs/index.js';

/** Urgent results that finish within this time share a transaction. */
const BATCH_DELAY_MS = 15;
/** Equals the maximum wait of a read, so that a read is usually pending when the last result is listed. */
const MAX_BATCH_DELAY_MS = 1_000;

export interface ListerServices {
  readonly repository: JobRepository;
  readonly cache: ResultCache;
  readonly metrics: ServiceMetrics;
  readonly logger: DecisionLogger;
}

export interface ListedJob {
  readonly head: JobHead;
  /** Number of results listed by earlier owners. */
  readonly listedCount: number;
  /** Time of acceptance on the monotonic clock, milliseconds. */
  readonly acceptedAtMs: number;
  /** Age of the job at which its results are due, milliseconds. */
  readonly dueAgeMs: () => number;
  /** Called when the result of an item is listed. */
  readonly onListed: (itemId: string) => void;
}

interface PendingResult {
  readonly itemId: string;
  /** JSON text. */
  readonly result: string;
  /** Time by which to list the result, on the monotonic clock, milliseconds. */
  readonly listByMs: number;
}

/** How long a result may wait for others, milliseconds; one that is not urgent waits until due at most. */
function batchDelayMs(isUrgent: boolean, untilDueMs: number): number {
  return isUrgent ? BATCH_DELAY_MS : Math.min(MAX_BATCH_DELAY_MS, Math.max(BATCH_DELAY_MS, untilDueMs));
}

export class ResultLister {
  private readonly pending: PendingResult[] = [];
  private wake: (() => void) | undefined;
  private nextPosition: number;

  constructor(
    private readonly services: ListerServices,
    private readonly job: ListedJob,
    private readonly signal: AbortSignal,
    private readonly clock: Clock = SYSTEM_CLOCK,
  ) {
    this.nextPosition = job.listedCount;
    signal.addEventListener('abort', () => this.wake?.(), { once: true });
  }

  /** Adds a result. An urgent one is listed at once, together with all pending ones. */
  add(result: JobResult, isUrgent: boolean): void {
    const now = this.clock.now();
    const untilDueMs = this.job.acceptedAtMs + this.job.dueAgeMs() - now;
    const listByMs = now + batchDelayMs(isUrgent, untilDueMs);
    this.pending.push({ itemId: result.id, result: JSON.stringify(result), listByMs });
    this.wake?.();
  }

  /** Lists results until there are `total` or the job is stopped. Resolves to false if the store rejects a batch. */
  async run(total: number): Promise<boolean> {
    while (this.nextPosition < total && !this.signal.aborted) {
      const listByMs = Math.min(...this.pending.map((result) => result.listByMs));
      if (this.clock.now() < listByMs) await this.waitUntil(listByMs);
      else if (!(await this.listBatch())) return false;
    }
    return true;
  }

  /** Resolves at `timeMs`, which may be infinite, or when a result is added or the job is stopped. */
  private async waitUntil(timeMs: number): Promise<void> {
    const controller = new AbortController();
    const woken = new Promise<void>((resolve) => {
      this.wake = resolve;
    });
    const wakeups = [woken];
    if (Number.isFinite(timeMs)) wakeups.push(this.clock.sleep(timeMs - this.clock.now(), controller.signal));
    await Promise.race(wakeups);
    controller.abort();
  }

  private async listBatch(): Promise<boolean> {
    const { repository, cache } = this.services;
    const results = this.pending.map(({ result }) => result);
    const batch = results.slice(0, repository.contents.countFittingResults(results));
    const startedAtMs = this.clock.now();
    const { head } = this.job;
    const listed = await repository.contents.appendResults(head, this.nextPosition, batch, this.signal);
    this.report(
      batch.length,
      listed.isOk() ? 'listed' : listed.error.failure,
      this.clock.now() - startedAtMs,
    );
    if (listed.isErr()) return listed.error.failure !== 'conflict' && listed.error.failure !== 'invalid';
    cache.append(head.jobId, this.nextPosition, batch);
    this.nextPosition += batch.length;
    for (const { itemId } of this.pending.splice(0, batch.length)) this.job.onListed(itemId);
    return true;
  }

  private report(count: number, outcome: string, tookMs: number): void {
    const ageSeconds = (this.clock.now() - this.job.acceptedAtMs) / MILLISECONDS_PER_SECOND;
    if (outcome === 'listed')
      for (let index = 0; index < count; index += 1) this.services.metrics.listedSeconds.observe(ageSeconds);
    this.services.logger.record({
      event: 'results-listed',
      jobId: this.job.head.jobId,
      firstPosition: this.nextPosition,
      count,
      outcome,
      epoch: this.job.head.record.epoch,
      tookMs: Math.round(tookMs),
    });
  }
}
