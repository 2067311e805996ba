/**
 * Batches the commits of a shard's samples, so that the number of store calls does not grow with that of the
 * samples. A batch is retried until the store answers or the lease is lost; finished samples are kept in
 * memory meanwhile.
 */
import { sleep } from '../../../common/clock.js';
import type { HeldLease } from '../../../state/resource/leases/index.js';
import type { CommitResult, FinishedSample, SampleCommits } from '../../../state/resource/samples/index.js';

/** Outcome of a sample's commit; `lease-lost` means that another node owns the shard. */
export type CommitOutcome = CommitResult | 'lease-lost';

interface PendingCommit {
  readonly finished: FinishedSample;
  readonly resolve: (outcome: CommitOutcome) => void;
}

/** Time in which further samples join a batch, milliseconds. Chosen, not measured. */
const BATCH_WINDOW_MS = 20;
/** Samples in a batch: the store takes 100 entries in a transaction, and a sample needs up to four. */
const MAX_BATCH_SIZE = 24;
/** Delay after a failed commit, milliseconds, doubled up to the maximum. Chosen, not measured. */
const FIRST_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 2_000;

/** The committer of one shard's owner. */
export class SampleCommitter {
  private queue: PendingCommit[] = [];
  private isProcessing = false;

  constructor(
    private readonly commits: SampleCommits,
    private readonly trainer: string,
    private readonly lease: HeldLease,
    private readonly signal: AbortSignal,
  ) {}

  /** Queues a sample; resolves when it has won or lost its slot, or the lease is lost. */
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

  /** The outcomes of a batch; `undefined` when it has to be tried again. */
  private async tryCommit(batch: readonly PendingCommit[]): Promise<readonly CommitOutcome[] | undefined> {
    const finished = batch.map((entry) => entry.finished);
    const results = await this.commits.commit(this.trainer, this.lease, finished);
    if (results.isOk()) return results.value;
    const isLost = results.error.failure === 'lease-lost' || this.signal.aborted;
    return isLost ? batch.map(() => 'lease-lost') : undefined;
  }
}
