/**
 * Runs one item of a job from its first event to its score. Attempts are repeated until the text is complete,
 * the item is dead or expired, or the job is stopped. An item is never quarantined (`crash-backoff.ts`).
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { JobItem, JobResult, PartialText } from '../../../protocol/service/batch-job.js';
import type { Route } from '../../../protocol/service/routing-configuration.js';
import type { IdentifiedRequest } from '../dispatch/index.js';
import { type GenerationOutcome, SampleText } from '../generation/index.js';
import { ItemAttempts } from './item-attempts.js';
import { decideRetry, isTextUsable } from './item-policy.js';
import { ItemRoute } from './item-route.js';
import type { ItemJob, ItemServices } from './item-services.js';

export class ItemRun {
  readonly text: SampleText;
  private failures = 0;
  private readonly route: ItemRoute;
  private readonly attempts: ItemAttempts;

  /** `storedText`: text that an earlier owner stored. */
  constructor(
    private readonly services: ItemServices,
    private readonly job: ItemJob,
    readonly item: JobItem,
    storedText: PartialText | undefined,
  ) {
    const { host, tenant, specification } = job;
    const isUsable = storedText && isTextUsable(storedText.versions, specification.minVersion);
    this.text = isUsable ? SampleText.from(storedText) : new SampleText();
    const identity: IdentifiedRequest = {
      method: 'POST',
      path: item.path,
      host,
      tenant,
      body: item.body,
      isJobWork: true,
    };
    this.route = new ItemRoute(services, job, item);
    this.attempts = new ItemAttempts(services, job, item, this.text, this.route, identity);
  }

  /** Resolves to the result, or to `undefined` if the job was stopped first. Never rejects. */
  async run(): Promise<JobResult | undefined> {
    while (!this.text.isComplete && !this.job.signal.aborted) {
      const result = await this.runOnce();
      if (result) return result;
    }
    return this.text.isComplete ? this.score() : undefined;
  }

  /** Makes one attempt and backs off after it. Resolves to the final result, or to `undefined` to continue. */
  private async runOnce(): Promise<JobResult | undefined> {
    const route = await this.route.wait();
    if (!route) return this.job.signal.aborted ? undefined : this.toDeadResult('the route was removed');
    if (this.hasExpired(route)) return this.toDeadResult('the maximum time in the queue has passed');
    const outcome = await this.attempts.run(route);
    const result = outcome && this.handleOutcome(outcome, route);
    if (!result && this.attempts.backoffMs > 0) await sleep(this.attempts.backoffMs, this.job.signal);
    return result;
  }

  private get ageMs(): number {
    return monotonicMs() - this.job.acceptedAtMs;
  }

  private hasExpired({ maxQueueMs }: Route): boolean {
    return this.ageMs > maxQueueMs;
  }

  /** Whether the item may be dead though nothing has failed it: it has expired, or its own route was removed. */
  private get mayGiveUp(): boolean {
    const route = this.route.current;
    return route ? this.hasExpired(route) : this.route.isRemoved();
  }

  /** Returns the final result after an attempt, or `undefined` to continue. */
  private handleOutcome(outcome: GenerationOutcome, route: Route): JobResult | undefined {
    if (outcome.kind === 'failed') this.failures += 1;
    const decision = decideRetry(outcome, this.failures, route);
    if (decision.kind === 'dead') return this.toDeadResult(decision.reason);
    if (decision.restarts) this.text.clear();
    return undefined;
  }

  private async score(): Promise<JobResult | undefined> {
    this.services.lengths.recordFinished(this.item, this.text.eventCount);
    const { scoring } = this.item;
    if (!scoring) return this.toCompletedResult(undefined);
    const { jobId, signal } = this.job;
    const mayBegin = () => this.services.jobGate.check(jobId) === 'open';
    const mayGiveUp = () => this.mayGiveUp;
    const outcome = await this.services.scorer.score(scoring, { jobId, signal, mayBegin, mayGiveUp });
    if (outcome.kind === 'scored') return this.toCompletedResult(outcome.score);
    return outcome.kind === 'cancelled' ? undefined : this.toDeadResult(outcome.reason);
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
