/** Commits finished samples in batches, so that the platform sees few calls however many samples there are. */
import { sleep } from '../../../common/clock.js';
import type { HeldLease } from '../../../state/resource/leases/index.js';
import type { CommitVerdict, FinishedSample, RolloutLedger } from '../../../state/resource/samples/index.js';

/** What became of a sample that was handed in. */
export type CommitOutcome = CommitVerdict | 'lease-lost';

interface Entry {
  readonly finished: FinishedSample;
  readonly settle: (outcome: CommitOutcome) => void;
}

const GATHER_MS = 20;
/** The store takes 100 entries in a transaction; a sample needs up to four. */
const MAX_BATCH = 24;
const FIRST_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 2_000;

/** The committer of one shard's owner. */
export class SampleCommitter {
  private queue: Entry[] = [];
  private working = false;

  constructor(
    private readonly ledger: RolloutLedger,
    private readonly trainer: string,
    private readonly lease: HeldLease,
    private readonly signal: AbortSignal,
  ) {}

  /** Hands a sample in; resolves when it has won its slot or lost it. */
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

  /** Tries until the platform answers or the lease is lost; finished samples are kept meanwhile. */
  private async commitBatch(batch: readonly Entry[]): Promise<void> {
    let delayMs = FIRST_RETRY_DELAY_MS;
    for (;;) {
      const finished = batch.map((entry) => entry.finished);
      const verdicts = await this.ledger.commit(this.trainer, this.lease, finished);
      if (verdicts.isOk()) {
        for (const [index, entry] of batch.entries()) entry.settle(verdicts.value[index] ?? 'lost');
        return;
      }
      if (verdicts.error.failure === 'lease-lost' || this.signal.aborted) {
        for (const entry of batch) entry.settle('lease-lost');
        return;
      }
      await sleep(delayMs, this.signal);
      delayMs = Math.min(2 * delayMs, MAX_RETRY_DELAY_MS);
    }
  }
}
