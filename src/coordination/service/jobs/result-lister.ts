/**
 * Lists the results of one job: in batches, at consecutive positions, under the owner's head.
 *
 * A submitter can go on only when all groups that it waits for are whole, and it reads at most about twice a second. A
 * result that is listed alone ends a read that waits, and the last one may then lie there until the next read. So results
 * are gathered, and listed at once when the submitter has what it waits for, or when they are due.
 */
import { type Clock, SYSTEM_CLOCK } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { JobResult } from '../../../protocol/service/batch-job.js';
import type { JobHead, JobRepository, ResultCache } from '../../../state/service/jobs/index.js';

/** Results that finish within this time share a transaction, milliseconds. */
const GATHER_MS = 15;
/**
 * Longest time for which a result waits for others, milliseconds: as long as a read may wait, and twice the distance of
 * two reads, so that a read waits at the node when the last result comes.
 */
const LONGEST_GATHER_MS = 1_000;
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

/** What a lister must know of its job. */
export interface ListedJob {
  readonly head: JobHead;
  /** Positions that are taken already. */
  readonly listedCount: number;
  /** Time of acceptance on the monotonic clock, milliseconds. */
  readonly acceptedAtMs: number;
  /** Age at which the job's results are due, milliseconds. */
  readonly dueAgeMs: () => number;
  /** Called when an item's result is listed. */
  readonly onListed: (itemId: string) => void;
}

/** A result that is not listed yet. */
interface WaitingResult {
  readonly itemId: string;
  /** As JSON text. */
  readonly result: string;
  /** When it is listed at the latest, on the monotonic clock. */
  readonly listByMs: number;
}

/** The lister of one job. */
export class ResultLister {
  private readonly waiting: WaitingResult[] = [];
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

  /** Takes a result. An urgent one is listed at once, together with all that wait; others within a second. */
  add(result: JobResult, isUrgent: boolean): void {
    const now = this.clock.now();
    const listByMs = now + (isUrgent ? GATHER_MS : this.longestGatherMs(now));
    this.waiting.push({ itemId: result.id, result: JSON.stringify(result), listByMs });
    this.wake?.();
  }

  /** Lists until `total` positions are taken or the job is stopped. Returns false when ownership was lost. */
  async run(total: number): Promise<boolean> {
    while (this.nextPosition < total && !this.signal.aborted) {
      const listByMs = Math.min(...this.waiting.map((waiting) => waiting.listByMs));
      if (this.clock.now() < listByMs) await this.untilWoken(listByMs);
      else if (!(await this.listBatch())) return false;
    }
    return true;
  }

  /** Time for which a result may wait for others: not beyond the time at which it is due. */
  private longestGatherMs(now: number): number {
    const untilDueMs = this.job.acceptedAtMs + this.job.dueAgeMs() - now;
    return Math.min(LONGEST_GATHER_MS, Math.max(GATHER_MS, untilDueMs));
  }

  /** Resolves when a result comes, the job is stopped, or at `timeMs` on the monotonic clock, which may be infinite. */
  private async untilWoken(timeMs: number): Promise<void> {
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
    const results = this.waiting.map(({ result }) => result);
    const batch = results.slice(0, repository.contents.fittingResults(results));
    const startedAt = this.clock.now();
    const deadline = startedAt + EFFORT_MS;
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
    for (const { itemId } of this.waiting.splice(0, batch.length)) this.job.onListed(itemId);
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
