/**
 * Delivers samples to trainers by drawing batches from the ledger, which it polls while no sample is ready.
 * The staleness bound is checked again before the response, because a version may have been published since.
 */
import { err, ok } from 'neverthrow';
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { Metrics } from '../../../common/metrics.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { Batch, DrawRequest } from '../../../protocol/resource/trainer.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { DecisionLog } from '../../../state/resource/decision-log.js';
import type { BatchLedger, DrawOptions, DrawOutcome } from '../../../state/resource/samples/index.js';
import { isWithinBound } from '../../../state/resource/samples/index.js';
import { type CoordinationResult, fromState } from '../coordination-error.js';
import { newestPublished } from '../weights/index.js';

const POLL_INTERVAL_MS = 100;
/** Upper limit if the trainer declares no batch size; the ledger may return fewer samples. */
const DEFAULT_BATCH_SIZE = 64;

export class Delivery {
  constructor(
    private readonly ledger: BatchLedger,
    private readonly view: ConfigView,
    private readonly decisions: DecisionLog,
    private readonly metrics: Metrics,
  ) {}

  /** Draws a batch, waiting up to `waitMs` for the first sample; idempotent for a cursor. */
  async draw(
    trainer: ResourceOf<'Trainer'>,
    request: DrawRequest,
    requestId: string,
    signal: AbortSignal,
  ): CoordinationResult<Batch> {
    const deadline = monotonicMs() + (request.waitMs ?? 0);
    const terms = drawOptions(trainer);
    for (;;) {
      const outcome = await this.ledger.draw(terms, request);
      if (outcome.isErr()) return err(fromState(outcome.error));
      this.recordDiscards(terms, outcome.value, requestId);
      const { batch, references } = outcome.value;
      const hasTimedOut = monotonicMs() >= deadline || signal.aborted;
      if (batch.samples.length === 0 && !hasTimedOut) {
        await sleep(POLL_INTERVAL_MS, signal);
        continue;
      }
      if (!this.isStillFresh(terms, outcome.value)) continue;
      this.recordDelivery(terms, references.length, requestId, batch);
      return ok(batch);
    }
  }

  /** Checks against versions that were published after the draw. */
  private isStillFresh(terms: DrawOptions, outcome: DrawOutcome): boolean {
    return outcome.references.every((sample) =>
      isWithinBound(sample.oldestVersion, newestPublished(this.view, sample.model), terms.stalenessBound),
    );
  }

  private recordDiscards(terms: DrawOptions, outcome: DrawOutcome, requestId: string): void {
    for (const { sample, reason, newest } of outcome.discarded) {
      this.metrics.samples.inc({ trainer: terms.trainer, outcome: reason });
      this.decisions.record({
        kind: 'discard',
        subjects: [requestId, sample.sampleId, `trainer/${terms.trainer}`],
        choice: reason === 'too-old' ? 'generate again' : 'drop',
        reason,
        inputs: { staleness: { oldest: sample.oldestVersion, newest, bound: terms.stalenessBound } },
      });
    }
  }

  private recordDelivery(terms: DrawOptions, count: number, requestId: string, batch: Batch): void {
    if (count === 0) return;
    // The metric label `handed-out` means delivered.
    this.metrics.samples.inc({ trainer: terms.trainer, outcome: 'handed-out' }, count);
    this.decisions.record({
      kind: 'deliver',
      subjects: [requestId, `trainer/${terms.trainer}`],
      choice: `cursor ${batch.cursor} attempt ${batch.attempt}`,
      reason: 'within-bound',
      inputs: { note: `${count} samples, checked against ${JSON.stringify(batch.checkedAgainst)}` },
    });
  }
}

function drawOptions(trainer: ResourceOf<'Trainer'>): DrawOptions {
  return {
    trainer: trainer.metadata.name,
    models: trainer.spec.models,
    stalenessBound: trainer.spec.stalenessBound,
    batchSize: trainer.spec.batchSize ?? DEFAULT_BATCH_SIZE,
  };
}
