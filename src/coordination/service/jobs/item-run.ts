/**
 * Runs one item of a job from its first event to its score. Attempts are repeated until the text is whole,
 * the item is dead, its longest time in the queue has passed, or the job is stopped; a quarantined item waits
 * without a slot.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { JobItem, JobResult, PartialText } from '../../../protocol/service/batch-job.js';
import type { Route } from '../../../protocol/service/routing-configuration.js';
import type { IdentifiedRequest } from '../dispatch/index.js';
import { type GenerationOutcome, SampleText } from '../generation/index.js';
import { ItemAttempts } from './item-attempts.js';
import { decideRetry, isTextUsable, quarantinePauseMs } from './item-policy.js';
import { ItemRoute } from './item-route.js';
import type { ItemJob, ItemServices } from './item-services.js';

/** One item under way. */
export class ItemRun {
  readonly text: SampleText;
  private failures = 0;
  private isQuarantined = false;
  private readonly route: ItemRoute;
  private readonly attempts: ItemAttempts;
  /** Identifies the item to the quarantine: the same in each of its runs, also in another job. */
  private readonly identity: IdentifiedRequest;

  /** `stored` is the text that an earlier owner stored. */
  constructor(
    private readonly services: ItemServices,
    private readonly job: ItemJob,
    readonly item: JobItem,
    stored: PartialText | undefined,
  ) {
    const { host, tenant, specification } = job;
    const isUsable = stored && isTextUsable(stored.versions, specification.minVersion);
    this.text = isUsable ? SampleText.from(stored) : new SampleText();
    this.identity = { method: 'POST', path: item.path, host, tenant, body: item.body };
    this.route = new ItemRoute(services, job, item);
    this.attempts = new ItemAttempts(services, job, item, this.text, this.route, this.identity);
  }

  /** Resolves to the result, or to `undefined` when the job was stopped before. Never rejects. */
  async run(): Promise<JobResult | undefined> {
    while (!this.text.isComplete && !this.job.signal.aborted) {
      const result = await this.runOnce();
      if (result) return result;
    }
    return this.text.isComplete ? this.score() : undefined;
  }

  /** One attempt, or one wait in quarantine; the final result, or `undefined` to go on. */
  private async runOnce(): Promise<JobResult | undefined> {
    const route = await this.route.wait();
    if (!route) return this.job.signal.aborted ? undefined : this.toDeadResult('the route is gone');
    if (this.ageMs > route.maxQueueMs) return this.toDeadResult('the longest time in the queue has passed');
    if (await this.waitIfQuarantined(route)) return undefined;
    const outcome = await this.attempts.run(route);
    return outcome && this.handleOutcome(outcome, route);
  }

  private get ageMs(): number {
    return monotonicMs() - this.job.acceptedAtMs;
  }

  /** Waits a little if quarantined. A crash is no answer, so the item is not dead until it expires. */
  private async waitIfQuarantined(route: Route): Promise<boolean> {
    const verdict = this.services.quarantine.evaluate(this.identity);
    if (verdict.kind !== 'held') {
      this.isQuarantined = false;
      return false;
    }
    if (!this.isQuarantined) {
      this.report('quarantined', `${verdict.ends} replicas crashed under it`);
      this.services.quarantine.countQuarantined(route.targets[0]?.service ?? '');
    }
    this.isQuarantined = true;
    await sleep(quarantinePauseMs(verdict.retryAfterMs), this.job.signal);
    return true;
  }

  /** The final result after an attempt, or `undefined` to go on. */
  private handleOutcome(outcome: GenerationOutcome, route: Route): JobResult | undefined {
    if (outcome.kind === 'failed') this.failures += 1;
    const verdict = decideRetry(outcome, this.failures, route);
    if (verdict.kind === 'dead') return this.toDeadResult(verdict.reason);
    if (verdict.restarts) this.text.clear();
    return undefined;
  }

  private async score(): Promise<JobResult | undefined> {
    this.services.lengths.recordFinished(this.item, this.text.eventCount);
    const { scoring } = this.item;
    if (!scoring) return this.toCompletedResult(undefined);
    const scored = await this.services.scorer.score(scoring, this.job.signal);
    if (scored.kind === 'scored') return this.toCompletedResult(scored.score);
    return scored.kind === 'cancelled' ? undefined : this.toDeadResult(scored.reason);
  }

  private toCompletedResult(score: string | undefined): JobResult {
    this.report('completed');
    const { text, item } = this;
    return { id: item.id, state: 'completed', text: text.join(), versions: text.versions, score };
  }

  private toDeadResult(reason: string): JobResult {
    this.report('dead', reason);
    return { id: this.item.id, state: 'dead', text: '', versions: [], score: undefined };
  }

  private report(change: string, detail?: string): void {
    this.services.logger.record({
      event: 'item-changed',
      requestId: this.item.id,
      jobId: this.job.jobId,
      group: this.item.group,
      change,
      events: this.text.eventCount,
      versions: this.text.versions.join(','),
      attempts: this.attempts.count,
      ageMs: Math.round(this.ageMs),
      detail,
    });
  }
}
