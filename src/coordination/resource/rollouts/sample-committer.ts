/**
 * Batches the commits of a shard's samples, so that the number of store calls does not grow with that of the
 * samples. A batch is retried until the store answers or the lease is lost; finished samples are kept in
 * memory meanwhile.
 */
import { sleep } from '../../../common/clock.js';
import type { HeldLease } from '../../../state/resource/leases/index.js';
import type { CommitVerdict, FinishedSample, SampleCommits } from '../../../state/resource/samples/index.js';

/** Outcome of a sample's commit; `lease-lost` means that another node owns the shard. */
export type CommitOutcome = CommitVerdict | 'lease-lost';

interface Entry {
  readonly finished: FinishedSample;
  readonly settle: (outcome: CommitOutcome) => void;
}

/** Time in which further samples join a batch, milliseconds. Chosen, not measured. */
const GATHER_MS = 20;
/** Samples in a batch: the store takes 100 entries in a transaction, and a sample needs up to four. */
const MAX_BATCH = 24;
/** Delay after a failed commit, milliseconds, doubled up to the maximum. Chosen, not measured. */
const FIRST_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 2_000;

/** The committer of one shard's owner. */
export class SampleCommitter {
  private queue: Entry[] = [];
  private working = false;

  constructor(
    private readonly commits: SampleCommits,
    private readonly trainer: string,
    private readonly lease: HeldLease,
    private readonly signal: AbortSignal,
  ) {}

  /** Queues a sample; resolves when it has won or lost its slot, or the lease is lost. */
  commit(finished: FinishedSample): Promise<CommitOutcome> {
    return new Promise((settle) => {
      this.queue.push({ finished, settle });
      if (!this.working) void this.work();
    });
  }

  private async work(): Promise<void> {
    this.working = true;
    await sleep(GATHER_MS);
    while (this.queue.length > 0) {
      const batch = this.queue.splice(0, MAX_BATCH);
      await this.commitBatch(batch);
    }
    this.working = false;
  }

  private async commitBatch(batch: readonly Entry[]): Promise<void> {
    let delayMs = FIRST_RETRY_DELAY_MS;
    for (;;) {
      const outcomes = await this.tryCommit(batch);
      if (outcomes) {
        for (const [index, entry] of batch.entries()) entry.settle(outcomes[index] ?? 'lost');
        return;
      }
      await sleep(delayMs, this.signal);
      delayMs = Math.min(2 * delayMs, MAX_RETRY_DELAY_MS);
    }
  }

  /** The outcomes of a batch; `undefined` when it has to be tried again. */
  private async tryCommit(batch: readonly Entry[]): Promise<readonly CommitOutcome[] | undefined> {
    const finished = batch.map((entry) => entry.finished);
    const verdicts = await this.commits.commit(this.trainer, this.lease, finished);
    if (verdicts.isOk()) return verdicts.value;
    const isLost = verdicts.error.failure === 'lease-lost' || this.signal.aborted;
    return isLost ? batch.map(() => 'lease-lost') : undefined;
  }
}
