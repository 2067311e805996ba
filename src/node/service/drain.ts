/** Deadlines for the steps of a drain, milliseconds on the monotonic clock. */
import { monotonicMs, sleep } from '../../common/clock.js';

/** Fractions of the stop grace period; the rest is left for flushing usage and for the exit. */
const FINISH_JOBS_FRACTION = 0.5;
const FINISH_REQUESTS_FRACTION = 0.9;
const ANSWER_ALL_FRACTION = 0.94;
const EXIT_FRACTION = 0.97;
/** Time until load balancers have noticed that the node is not ready. */
const READINESS_PROPAGATION_MS = 3_000;
const DRAIN_POLL_MS = 50;

export interface DrainDeadlines {
  /** Jobs that are still owned are handed over. */
  readonly finishJobsAtMs: number;
  /** Load balancers send new requests to other nodes by then. */
  readonly trafficMovedAtMs: number;
  /** Requests that are still open are ended with an answer that says whether they may have run. */
  readonly finishRequestsAtMs: number;
  /** The node stops waiting for these answers. */
  readonly answerAllAtMs: number;
  /** The process exits, with or without a flush of usage. */
  readonly exitAtMs: number;
}

/** `stopGraceMs` is the time from the stop signal until the process is killed. */
export function drainDeadlines(startedAtMs: number, stopGraceMs: number): DrainDeadlines {
  const finishRequestsAtMs = startedAtMs + stopGraceMs * FINISH_REQUESTS_FRACTION;
  return {
    finishJobsAtMs: startedAtMs + stopGraceMs * FINISH_JOBS_FRACTION,
    trafficMovedAtMs: Math.min(startedAtMs + READINESS_PROPAGATION_MS, finishRequestsAtMs),
    finishRequestsAtMs,
    answerAllAtMs: startedAtMs + stopGraceMs * ANSWER_ALL_FRACTION,
    exitAtMs: startedAtMs + stopGraceMs * EXIT_FRACTION,
  };
}

/** Resolves when `done` settles or the deadline passes. */
export async function untilSettled(done: Promise<unknown>, deadlineMs: number): Promise<void> {
  const controller = new AbortController();
  await Promise.race([done, sleep(Math.max(0, deadlineMs - monotonicMs()), controller.signal)]);
  controller.abort();
}

/** Resolves when `condition` holds or the deadline passes. */
export async function waitUntil(condition: () => boolean, deadlineMs: number): Promise<void> {
  while (!condition() && monotonicMs() < deadlineMs) await sleep(DRAIN_POLL_MS);
}
