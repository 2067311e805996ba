/**
 * Scores finished samples by a call to an application service; the signature of the response is the score. A
 * call is retried until it succeeds, error statuses have used up the attempts of its route, the route is
 * removed, or the job ends. Rejected calls, time-outs and lost responses do not count as attempts.
 */
import { exponentialBackoffMs } from '../../../common/backoff.js';
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { ScoringCall } from '../../../protocol/service/batch-job.js';
import type { Route } from '../../../protocol/service/routing-configuration.js';
import type { RoutingSnapshot, RoutingTable } from '../../../state/service/configuration/index.js';
import type { RelayOutcome, ServiceRelay } from '../requests/index.js';
import { isRouteRemoved } from './route-removal.js';

export type ScoringOutcome =
  | { readonly kind: 'scored'; readonly score: string }
  | { readonly kind: 'impossible'; readonly reason: string }
  | { readonly kind: 'cancelled' };

/** Job for which a sample is scored. */
export interface ScoringJob {
  readonly jobId: string;
  /** Whether the job is known to be open, so that work for it may begin. */
  readonly mayBegin: () => boolean;
  /** Aborted when the job is stopped. */
  readonly signal: AbortSignal;
}

interface ScoringProgress {
  failures: number;
  /** Consecutive attempts that may have run and were not answered. */
  lostAttempts: number;
  /** When the route was last present, on the monotonic clock, milliseconds. */
  routeSeenAtMs: number;
}

/** Backoff between attempts, randomized by up to half. */
const INITIAL_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 400;
/**
 * Least backoff after an attempt that may have run and was not answered, such as at a replica that crashed;
 * doubles with each one, so that a call cannot crash the replicas of a service at full speed.
 */
const LOST_BACKOFF_MS = 100;
const MAX_LOST_BACKOFF_MS = 1_000;
/** Fair-queuing flow of scoring calls. */
const SCORING_FLOW = 'scoring';
/** Redirects are failures too, since they carry no score. */
const MIN_FAILURE_STATUS = 300;
/** Bad gateway, unavailable, time-out: say that the service did not answer, nothing about the call. */
const UNANSWERED_STATUSES: ReadonlySet<number> = new Set([502, 503, 504]);

/**
 * `retry`: the call was rejected or not answered in time, or its response was lost or has no score; not
 * counted as a failure.
 */
function classifyScoring(outcome: RelayOutcome): { kind: 'scored'; score: string } | 'failed' | 'retry' {
  if (outcome.kind !== 'answered') return 'retry';
  const { status, isFramed, signature } = outcome.answer;
  if (UNANSWERED_STATUSES.has(status)) return 'retry';
  if (status >= MIN_FAILURE_STATUS) return 'failed';
  return isFramed && signature ? { kind: 'scored', score: signature } : 'retry';
}

function isLost(outcome: RelayOutcome): boolean {
  return outcome.kind === 'failed' && !outcome.isTimeout;
}

/** Backoff after `lostAttempts` consecutive lost attempts, milliseconds. */
function lostBackoffMs(lostAttempts: number): number {
  if (lostAttempts === 0) return 0;
  return exponentialBackoffMs(LOST_BACKOFF_MS, lostAttempts - 1, MAX_LOST_BACKOFF_MS);
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
    const progress = { failures: 0, lostAttempts: 0, routeSeenAtMs: monotonicMs() };
    let backoffMs = INITIAL_BACKOFF_MS;
    while (!signal.aborted) {
      const outcome = await this.attempt(call, job, progress);
      if (outcome) return outcome;
      const pauseMs = Math.max(backoffMs * (0.5 + Math.random()), lostBackoffMs(progress.lostAttempts));
      await sleep(pauseMs, signal);
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
    if (!route) {
      const isRemoved = isRouteRemoved(progress.routeSeenAtMs, monotonicMs());
      return isRemoved
        ? { kind: 'impossible', reason: 'the route of the scoring call was removed' }
        : undefined;
    }
    progress.routeSeenAtMs = monotonicMs();
    const sent = await this.send(call, job, snapshot, route);
    progress.lostAttempts = isLost(sent) ? progress.lostAttempts + 1 : 0;
    const result = classifyScoring(sent);
    if (typeof result === 'object') return result;
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
