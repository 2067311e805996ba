/** Scores finished samples: a request to an application service whose answer's signature is the score. */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { ScoringCall } from '../../../protocol/service/batch-job.js';
import type { RoutingTable } from '../../../state/service/configuration/index.js';
import type { ServiceRelay } from '../requests/index.js';

/** How scoring ended. */
export type ScoringOutcome =
  | { readonly kind: 'scored'; readonly score: string }
  | { readonly kind: 'impossible'; readonly reason: string }
  | { readonly kind: 'cancelled' };

/** The job that a sample belongs to. */
interface ScoredJob {
  readonly jobId: string;
  readonly signal: AbortSignal;
}

const FIRST_PAUSE_MS = 20;
const LONGEST_PAUSE_MS = 400;
/** Who is charged for the use of replicas by scoring calls. */
const SCORING_FLOW = 'scoring';
const ROUTE_GONE_MS = 3_000;

/** Scores samples. How many calls run at once is decided where the places of the service's replicas are dealt out. */
export class SampleScorer {
  constructor(
    private readonly routing: RoutingTable,
    private readonly relay: ServiceRelay,
  ) {}

  /** Repeats the call until it succeeds, has failed too often, or the job is stopped. */
  async score(call: ScoringCall, job: ScoredJob): Promise<ScoringOutcome> {
    let failures = 0;
    let pauseMs = FIRST_PAUSE_MS;
    let routeSeenAtMs = monotonicMs();
    while (!job.signal.aborted) {
      const snapshot = this.routing.current;
      const route = snapshot?.match(call.host, call.path);
      if (snapshot && route) {
        routeSeenAtMs = monotonicMs();
        const deadlineMs = monotonicMs() + route.timeoutMs;
        const outcome = await this.relay.relay({
          id: call.id,
          method: 'POST',
          path: call.path,
          host: call.host,
          headers: {},
          body: call.body,
          route: { ...route, maxAttempts: 1 },
          snapshot,
          deadlineMs,
          signal: job.signal,
          isHedged: false,
          priority: route.priority,
          flow: SCORING_FLOW,
          isBackground: true,
          targetAtMs: deadlineMs,
        });
        const answer = outcome.kind === 'answered' ? outcome.answer : undefined;
        const isSuccess = answer !== undefined && answer.status < 300;
        if (isSuccess && answer.isFramed && answer.signature)
          return { kind: 'scored', score: answer.signature };
        if (answer && !isSuccess) failures += 1;
        if (failures >= route.maxAttempts)
          return { kind: 'impossible', reason: `scoring failed ${failures} times` };
      } else if (snapshot && monotonicMs() - routeSeenAtMs > ROUTE_GONE_MS) {
        return { kind: 'impossible', reason: 'the route of the scoring call is gone' };
      }
      await sleep(pauseMs * (0.5 + Math.random()), job.signal);
      pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
    }
    return { kind: 'cancelled' };
  }
}
