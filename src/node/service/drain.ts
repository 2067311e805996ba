/** Deadlines for the steps of a drain, milliseconds on the monotonic clock. */
import { monotonicMs, sleep } from '../../common/clock.js';

/** Fractions of the stop grace period; the rest is left for handing over jobs and flushing usage. */
const FINISH_JOBS_FRACTION = 0.5;
const FINISH_REQUESTS_FRACTION = 0.9;
/** Time until load balancers have noticed that the node is not ready. */
const READINESS_PROPAGATION_MS = 3_000;
const DRAIN_POLL_MS = 50;

export interface DrainDeadlines {
  /** Jobs that are still owned are handed over. */
  readonly finishJobsAtMs: number;
  /** Load balancers send new requests to other nodes by then. */
  readonly trafficMovedAtMs: number;
  /** The node stops waiting for open requests. */
  readonly finishRequestsAtMs: number;
}

/** `stopGraceMs` is the time from the stop signal until the process is killed. */
export function drainDeadlines(startedAtMs: number, stopGraceMs: number): DrainDeadlines {
  return {
    finishJobsAtMs: startedAtMs + stopGraceMs * FINISH_JOBS_FRACTION,
    trafficMovedAtMs: startedAtMs + READINESS_PROPAGATION_MS,
    finishRequestsAtMs: startedAtMs + stopGraceMs * FINISH_REQUESTS_FRACTION,
  };
}

/** Resolves when `condition` holds or the deadline passes. */
export async function waitUntil(condition: () => boolean, deadlineMs: number): Promise<void> {
  while (!condition() && monotonicMs() < deadlineMs) await sleep(DRAIN_POLL_MS);
}
