/**
 * Batches the commits of a shard's samples to reduce the number of store calls. A batch is retried until the
 * store confirms it or the lease is lost; its samples are kept in memory until then.
 */
import { sleep } from '../../../common/clock.js';
import type { HeldLease } from '../../../state/resource/leases/index.js';
import type { CommitResult, FinishedSample, SampleCommits } from '../../../state/resource/samples/index.js';

/** `lease-lost`: another node owns the shard. */
export type CommitOutcome = CommitResult | 'lease-lost';

interface PendingCommit {
  readonly finished: FinishedSample;
  readonly resolve: (outcome: CommitOutcome) => void;
}

/** Delay before the first batch is taken from the queue. */
const BATCH_WINDOW_MS = 20;
/** A transaction has at most 100 entries, and a sample takes up to four. */
const MAX_BATCH_SIZE = 24;
/** Initial delay after a failed commit, doubled up to the maximum. */
const FIRST_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 2_000;

export class SampleCommitter {
  private queue: PendingCommit[] = [];
  private isProcessing = false;

  constructor(
    private readonly commits: SampleCommits,
    private readonly trainer: string,
    private readonly lease: HeldLease,
    private readonly signal: AbortSignal,
  ) {}

  /** Queues a sample; resolves when it is committed or rejected, or when the lease is lost. */
  commit(finished: FinishedSample): Promise<CommitOutcome> {
    return new Promise((settle) => {
      this.queue.push({ finished, resolve: settle });
      if (!this.isProcessing) void this.processQueue();
    });
  }

  private async processQueue(): Promise<void> {
    this.isProcessing = true;
    await sleep(BATCH_WINDOW_MS);
    while (this.queue.length > 0) {
      const batch = this.queue.splice(0, MAX_BATCH_SIZE);
      await this.commitBatch(batch);
    }
    this.isProcessing = false;
  }

  private async commitBatch(batch: readonly PendingCommit[]): Promise<void> {
    let delayMs = FIRST_RETRY_DELAY_MS;
    for (;;) {
      const outcomes = await this.tryCommit(batch);
      if (outcomes) {
        for (const [index, entry] of batch.entries()) entry.resolve(outcomes[index] ?? 'lost');
        return;
      }
      await sleep(delayMs, this.signal);
      delayMs = Math.min(2 * delayMs, MAX_RETRY_DELAY_MS);
    }
  }

  /** Returns `undefined` if the batch must be retried. */
  private async tryCommit(batch: readonly PendingCommit[]): Promise<readonly CommitOutcome[] | undefined> {
    const finished = batch.map((entry) => entry.finished);
    const results = await this.commits.commit(this.trainer, this.lease, finished);
    if (results.isOk()) return results.value;
    const isLost = results.error.failure === 'lease-lost' || this.signal.aborted;
    return isLost ? batch.map(() => 'lease-lost') : undefined;
  }
}
