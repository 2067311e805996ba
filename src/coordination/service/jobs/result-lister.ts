/**
 * Lists the results of one job: in batches, at consecutive positions, under the owner's head.
 *
 * A submitter continues only when all groups that it waits for are complete, and it reads about twice a
 * second at most. A result that is listed alone ends a waiting read, and the last one then waits for the next
 * read. So results are gathered, and listed at once when the submitter has what it waits for, or when they
 * are due (docs/design/batch-jobs.md).
 *
 * Relies on the store: a batch that it does not accept is retried until the job is stopped, at the same
 * positions.
 */
import { type Clock, MILLISECONDS_PER_SECOND, SYSTEM_CLOCK } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { JobResult } from '../../../protocol/service/batch-job.js';
import type { JobHead, JobRepository, ResultCache } from '../../../state/service/jobs/index.js';

/** Results that finish within this time share a transaction, milliseconds. Chosen, not measured. */
const BATCH_DELAY_MS = 15;
/**
 * Longest time for which a result waits for others, milliseconds: as long as a read may wait, and twice the
 * interval of reads, so that a read is waiting at the node when the last result is listed.
 */
const MAX_BATCH_DELAY_MS = 1_000;
/** Longest effort to list a batch before it is retried, milliseconds. Chosen, not measured. */
const APPEND_TIMEOUT_MS = 5_000;

/** Dependencies of a lister. */
export interface ListerServices {
  readonly repository: JobRepository;
  readonly cache: ResultCache;
  readonly metrics: ServiceMetrics;
  readonly logger: DecisionLogger;
}

/** What a lister needs of its job. */
export interface ListedJob {
  readonly head: JobHead;
  /** Results that are listed already. */
  readonly listedCount: number;
  /** Time of acceptance on the monotonic clock, milliseconds. */
  readonly acceptedAtMs: number;
  /** Age at which the job's results are due, milliseconds. */
  readonly dueAgeMs: () => number;
  /** Called when an item's result is listed. */
  readonly onListed: (itemId: string) => void;
}

/** A result that is not listed yet. */
interface PendingResult {
  readonly itemId: string;
  /** As JSON text. */
  readonly result: string;
  /** Latest time of listing it, on the monotonic clock, milliseconds. */
  readonly listByMs: number;
}

/**
 * Time for which a result may wait for others, milliseconds: `GATHER_MS` for an urgent one, else
 * `LONGEST_GATHER_MS` at most, and not beyond the time at which it is due (`untilDueMs`).
 */
function batchDelayMs(isUrgent: boolean, untilDueMs: number): number {
  return isUrgent ? BATCH_DELAY_MS : Math.min(MAX_BATCH_DELAY_MS, Math.max(BATCH_DELAY_MS, untilDueMs));
}

/** The lister of one job. */
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

  /** Adds a result. An urgent one is listed at once, together with all that wait; others within a second. */
  add(result: JobResult, isUrgent: boolean): void {
    const now = this.clock.now();
    const untilDueMs = this.job.acceptedAtMs + this.job.dueAgeMs() - now;
    const listByMs = now + batchDelayMs(isUrgent, untilDueMs);
    this.pending.push({ itemId: result.id, result: JSON.stringify(result), listByMs });
    this.wake?.();
  }

  /**
   * Lists until there are `total` results or the job is stopped. Resolves to false when ownership was lost.
   */
  async run(total: number): Promise<boolean> {
    while (this.nextPosition < total && !this.signal.aborted) {
      const listByMs = Math.min(...this.pending.map((waiting) => waiting.listByMs));
      if (this.clock.now() < listByMs) await this.waitUntil(listByMs);
      else if (!(await this.listBatch())) return false;
    }
    return true;
  }

  /** Resolves when a result is added, the job is stopped, or at `timeMs`, which may be infinite. */
  private async waitUntil(timeMs: number): Promise<void> {
    const controller = new AbortController();
    const woken = new Promise<void>((resolve) => {
      this.wake = resolve;
    });
    const waits = [woken];
    if (Number.isFinite(timeMs)) waits.push(this.clock.sleep(timeMs - this.clock.now(), controller.signal));
    await Promise.race(waits);
    controller.abort();
  }

  private async listBatch(): Promise<boolean> {
    const { repository, cache } = this.services;
    const results = this.pending.map(({ result }) => result);
    const batch = results.slice(0, repository.contents.countFittingResults(results));
    const startedAt = this.clock.now();
    const deadline = startedAt + APPEND_TIMEOUT_MS;
    const listed = await repository.contents.appendResults(
      this.job.head,
      this.nextPosition,
      batch,
      deadline,
      this.signal,
    );
    this.report(batch.length, listed.isOk() ? 'listed' : listed.error.failure, this.clock.now() - startedAt);
    if (listed.isErr()) return listed.error.failure !== 'conflict' && listed.error.failure !== 'invalid';
    cache.append(this.job.head.jobId, this.nextPosition, batch);
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
