/**
 * Scores finished samples: relays the scoring call to an application service; the signature of the response
 * is the score. The call is retried until it succeeds or error statuses have come as often as its route
 * allows attempts. Rejections and lost responses do not count: only the end of the job, or of the route,
 * stops these retries.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { ScoringCall } from '../../../protocol/service/batch-job.js';
import type { Route } from '../../../protocol/service/routing-configuration.js';
import type { RoutingSnapshot, RoutingTable } from '../../../state/service/configuration/index.js';
import type { RelayOutcome, ServiceRelay } from '../requests/index.js';
import { isRouteRemoved } from './route-loss.js';

/** How scoring ended. */
export type ScoringOutcome =
  | { readonly kind: 'scored'; readonly score: string }
  | { readonly kind: 'impossible'; readonly reason: string }
  | { readonly kind: 'cancelled' };

/** Retries so far. */
interface ScoringProgress {
  failures: number;
  /** When the route existed last, on the monotonic clock. */
  routeSeenAtMs: number;
}

/** Backoff between attempts, milliseconds, randomized by half. Chosen, not measured. */
const INITIAL_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 400;
/** Flow that scoring calls are charged to. */
const SCORING_FLOW = 'scoring';
/** Statuses from here on fail a scoring call: redirects have no score. */
const MIN_FAILURE_STATUS = 300;

/** What one attempt means; `retry` does not count as a failure: a rejection, or a response without score. */
function classifyScoring(outcome: RelayOutcome): { kind: 'scored'; score: string } | 'failed' | 'retry' {
  if (outcome.kind !== 'answered') return 'retry';
  const { status, isFramed, signature } = outcome.answer;
  if (status >= MIN_FAILURE_STATUS) return 'failed';
  return isFramed && signature ? { kind: 'scored', score: signature } : 'retry';
}

/** Scores samples. The dispatcher of the scoring service limits how many calls run at once. */
export class SampleScorer {
  constructor(
    private readonly routing: RoutingTable,
    private readonly relay: ServiceRelay,
  ) {}

  /** Retries the call until it succeeds, has failed too often, or `signal` is aborted. Never rejects. */
  async score(call: ScoringCall, signal: AbortSignal): Promise<ScoringOutcome> {
    const progress = { failures: 0, routeSeenAtMs: monotonicMs() };
    let pauseMs = INITIAL_BACKOFF_MS;
    while (!signal.aborted) {
      const outcome = await this.attempt(call, signal, progress);
      if (outcome) return outcome;
      await sleep(pauseMs * (0.5 + Math.random()), signal);
      pauseMs = Math.min(MAX_BACKOFF_MS, pauseMs * 2);
    }
    return { kind: 'cancelled' };
  }

  /** One attempt if there is a route; the final outcome, or `undefined` to retry. */
  private async attempt(
    call: ScoringCall,
    signal: AbortSignal,
    progress: ScoringProgress,
  ): Promise<ScoringOutcome | undefined> {
    const snapshot = this.routing.current;
    if (!snapshot) return undefined;
    const route = snapshot.match(call.host, call.path);
    if (!route) {
      const isGone = isRouteRemoved(progress.routeSeenAtMs, monotonicMs());
      return isGone ? { kind: 'impossible', reason: 'the route of the scoring call is gone' } : undefined;
    }
    progress.routeSeenAtMs = monotonicMs();
    const verdict = classifyScoring(await this.send(call, signal, snapshot, route));
    if (typeof verdict === 'object') return verdict;
    if (verdict === 'failed') progress.failures += 1;
    if (progress.failures < route.maxAttempts) return undefined;
    return { kind: 'impossible', reason: `scoring failed ${progress.failures} times` };
  }

  private send(
    call: ScoringCall,
    signal: AbortSignal,
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
      signal,
      isHedged: false,
      priority: route.priority,
      flow: SCORING_FLOW,
      isBackground: true,
      targetAtMs: deadlineMs,
    });
  }
}
