/** When the steps of a node's drain end. All times in milliseconds on the monotonic clock. */
import { monotonicMs, sleep } from '../../common/clock.js';

/** Shares of the time until the process is killed. Chosen, not measured: time is left to hand jobs over. */
const FINISH_JOBS_FRACTION = 0.5;
const FINISH_REQUESTS_FRACTION = 0.9;
/** Time until load balancers have seen that a node is not ready. Chosen, not measured. */
const READINESS_PROPAGATION_MS = 3_000;
/** Interval of checks whether a step is over. Chosen, not measured. */
const DRAIN_POLL_MS = 50;

/** Ends of the steps. */
export interface DrainDeadlines {
  /** Owned jobs may finish here until then; the rest is handed over. */
  readonly finishJobsAtMs: number;
  /** Callers have moved to other nodes by then. */
  readonly trafficMovedAtMs: number;
  /** Open requests may finish until then. */
  readonly finishRequestsAtMs: number;
}

/** `stopGraceMs` is the time from the signal to stop until the process is killed. */
export function drainDeadlines(startedAtMs: number, stopGraceMs: number): DrainDeadlines {
  return {
    finishJobsAtMs: startedAtMs + stopGraceMs * FINISH_JOBS_FRACTION,
    trafficMovedAtMs: startedAtMs + READINESS_PROPAGATION_MS,
    finishRequestsAtMs: startedAtMs + stopGraceMs * FINISH_REQUESTS_FRACTION,
  };
}

/** Resolves once `condition` holds, at the deadline at the latest. */
export async function waitUntil(condition: () => boolean, deadlineMs: number): Promise<void> {
  while (!condition() && monotonicMs() < deadlineMs) await sleep(DRAIN_POLL_MS);
}
