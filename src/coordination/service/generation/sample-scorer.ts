/**
 * Scores finished samples by a call to an application service; the signature of the response is the score. A
 * call is retried until it succeeds, its service has failed it as often as its route allows attempts, or the job
 * ends. Rejected calls, time-outs and lost responses do not count as attempts. A call without a route, or whose
 * service does not know it, waits for another configuration, until its item may be given up.
 */
import { exponentialBackoffMs } from '../../../common/backoff.js';
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { ScoringCall } from '../../../protocol/service/batch-job.js';
import type { Route } from '../../../protocol/service/routing-configuration.js';
import type { RoutingSnapshot, RoutingTable } from '../../../state/service/configuration/index.js';
import type { RelayOutcome, ServiceRelay } from '../requests/index.js';

export type ScoringOutcome =
  | { readonly kind: 'scored'; readonly score: string }
  | { readonly kind: 'impossible'; readonly reason: string }
  | { readonly kind: 'cancelled' };

/** Job for which a sample is scored. */
export interface ScoringJob {
  readonly jobId: string;
  /** Whether the job is known to be open, so that work for it may begin. */
  readonly mayBegin: () => boolean;
  /** Whether the item may be given up, although its call has not failed. */
  readonly mayGiveUp: () => boolean;
  /** Aborted when the job is stopped. */
  readonly signal: AbortSignal;
}

interface ScoringProgress {
  failures: number;
  /** Consecutive attempts that were lost, or answered by a service that does not know the call. */
  fruitlessAttempts: number;
}

/** Backoff between attempts, randomized by up to half. */
const INITIAL_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 400;
/**
 * Least backoff after a fruitless attempt, such as at a replica that crashed; doubles with each one, so that a call
 * cannot crash the replicas of a service at full speed.
 */
const FRUITLESS_BACKOFF_MS = 100;
const MAX_FRUITLESS_BACKOFF_MS = 1_000;
/** Fair-queuing flow of scoring calls. */
const SCORING_FLOW = 'scoring';
/** The service ran the call and failed it. */
const FAILURE_STATUS = 500;
/** First status of an answer without a score: a redirect. */
const MIN_UNSCORED_STATUS = 300;
/** Bad gateway, unavailable, time-out: say that the service did not answer, nothing about the call. */
const UNANSWERED_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

/**
 * `retry`: the call was rejected or not answered in time, or its response was lost or has no score.
 * `unknown-call`: any other status; the service may not be the one of the call, since its route was changed or a
 * broader route stands in for it. Neither counts as a failure.
 */
function classifyScoring(
  outcome: RelayOutcome,
): { kind: 'scored'; score: string } | 'failed' | 'retry' | 'unknown-call' {
  if (outcome.kind !== 'answered') return 'retry';
  const { status, isFramed, signature } = outcome.answer;
  if (status === FAILURE_STATUS) return 'failed';
  if (UNANSWERED_STATUSES.has(status)) return 'retry';
  if (status >= MIN_UNSCORED_STATUS) return 'unknown-call';
  return isFramed && signature ? { kind: 'scored', score: signature } : 'retry';
}

function isLost(outcome: RelayOutcome): boolean {
  return outcome.kind === 'failed' && !outcome.isTimeout;
}

/** Backoff after `attempts` consecutive fruitless attempts, milliseconds. */
function fruitlessBackoffMs(attempts: number): number {
  if (attempts === 0) return 0;
  return exponentialBackoffMs(FRUITLESS_BACKOFF_MS, attempts - 1, MAX_FRUITLESS_BACKOFF_MS);
}

/** Returns the final outcome if the item may be given up, or `undefined` to retry. */
function giveUpIfAllowed({ mayGiveUp }: ScoringJob, reason: string): ScoringOutcome | undefined {
  if (!mayGiveUp()) return undefined;
  return { kind: 'impossible', reason: `${reason}, and the item may be given up` };
}

/** Scores samples. The dispatcher of the scoring service limits the concurrency of the calls. */
export class SampleScorer {
  constructor(
    private readonly routing: RoutingTable,
    private readonly relay: ServiceRelay,
  ) {}

  /** Retries the call until it succeeds, fails permanently, or the job is stopped. Never rejects. */
  async score(call: ScoringCall, job: ScoringJob): Promise<ScoringOutcome> {
    const { signal } = job;
    const progress = { failures: 0, fruitlessAttempts: 0 };
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!signal.aborted) {
      const outcome = await this.attempt(call, job, progress);
      if (outcome) return outcome;
      const randomizedMs = backoffMs * (0.5 + Math.random());
      await sleep(Math.max(randomizedMs, fruitlessBackoffMs(progress.fruitlessAttempts)), signal);
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
    return { kind: 'cancelled' };
  }

  /** Makes one attempt if the route exists. Resolves to the final outcome, or to `undefined` to retry. */
  private async attempt(
    call: ScoringCall,
    job: ScoringJob,
    progress: ScoringProgress,
  ): Promise<ScoringOutcome | undefined> {
    const snapshot = this.routing.current;
    if (!snapshot || !job.mayBegin()) return undefined;
    const route = snapshot.match(call.host, call.path);
    if (!route) return giveUpIfAllowed(job, 'the scoring call has no route');
    const sent = await this.send(call, job, snapshot, route);
    const result = classifyScoring(sent);
    if (typeof result === 'object') return result;
    const isFruitless = isLost(sent) || result === 'unknown-call';
    progress.fruitlessAttempts = isFruitless ? progress.fruitlessAttempts + 1 : 0;
    if (result === 'unknown-call')
      return giveUpIfAllowed(job, 'the service of the scoring call does not know it');
    if (result === 'failed') progress.failures += 1;
    if (progress.failures < route.maxAttempts) return undefined;
    return { kind: 'impossible', reason: `the scoring call failed ${progress.failures} times` };
  }

  private send(
    call: ScoringCall,
    { jobId, signal }: ScoringJob,
    snapshot: RoutingSnapshot,
    route: Route,
  ): Promise<RelayOutcome> {
    const { id, path, host, body } = call;
    const deadlineMs = monotonicMs() + route.timeoutMs;
    return this.relay.relay({
      id,
      method: 'POST',
      path,
      host,
      headers: {},
      body,
      route: { ...route, maxAttempts: 1 },
      snapshot,
      deadlineMs,
      jobId,
      signal,
      isHedged: false,
      priority: route.priority,
      flow: SCORING_FLOW,
      isBackground: true,
      isJobWork: true,
      targetAtMs: deadlineMs,
    });
  }
}
