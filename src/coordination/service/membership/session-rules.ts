/**
 * Rules of sessions: when a holder counts as lost, fresh or suspect, and how often heartbeats are written and
 * read. Times in milliseconds. `answerMs` is how long an answer of the store usually takes now: on a slow
 * store all waits grow with it.
 */

/** Interval of a holder's heartbeats. Kept after a trial (docs/design/membership-and-time.md). */
export const HEARTBEAT_INTERVAL_MS = 250;
/**
 * Interval of reads of holders, of nodes with a suspect, and of all nodes of a small fleet. With half of it
 * 400 nodes would use 1,600 of the store's 2,000 reads a second (docs/design/membership-and-time.md).
 */
const POLL_INTERVAL_MS = 500;
/** Share of `POLL_MS` by which reads of different nodes are spread. Chosen, not measured. */
const POLL_JITTER = 0.05;
/**
 * Nodes that read at `POLL_MS` in a fleet of any size; in a larger one idle nodes read less often in
 * proportion, so that all together read as often as these would: 32 a second. Chosen, not measured.
 */
const FREQUENT_POLLERS = 16;
/** Unanswered heartbeats above which none is sent. Chosen, not measured: a lost answer must not delay it. */
export const MAX_PENDING_HEARTBEATS = 4;
/**
 * Observed time without a new heartbeat after which a holder is lost. Between one and two intervals of reads:
 * a single read without a new heartbeat never suffices, the second one does.
 */
const LOSS_TIMEOUT_MS = 900;
const LOSS_LATENCY_FACTOR = 4;
/** Time between two reads that still counts as observed: two intervals of reads and their spread. */
const MAX_READ_GAP_MS = 1_100;
/** Age on the store's clock up to which a heartbeat shows a running process: two heartbeats and one read. */
const MAX_FRESH_AGE_MS = 2 * HEARTBEAT_INTERVAL_MS + POLL_INTERVAL_MS;
const AGE_LATENCY_FACTOR = 2;
/** Age on the store's clock above which a heartbeat is suspect: the second one is missing. */
const MIN_SUSPECT_AGE_MS = 2.5 * HEARTBEAT_INTERVAL_MS;

/** Observed time of silence after which a holder is lost. */
export function lossTimeoutMs(latencyMs: number): number {
  return LOSS_TIMEOUT_MS + latencyMs * LOSS_LATENCY_FACTOR;
}

/** Whether time between two reads was observed: an outage of the store or a process pause is not. */
export function isObserved(sinceLastReadMs: number): boolean {
  return sinceLastReadMs <= MAX_READ_GAP_MS;
}

/** Age of a heartbeat up to which its process runs. */
export function maxFreshAgeMs(latencyMs: number): number {
  return MAX_FRESH_AGE_MS + latencyMs * AGE_LATENCY_FACTOR;
}

/** Age of a heartbeat above which it is read frequently, until its process is lost or back. */
export function minSuspectAgeMs(latencyMs: number): number {
  return MIN_SUSPECT_AGE_MS + latencyMs * AGE_LATENCY_FACTOR;
}

/** Interval to the next frequent read; `random` is from 0 to 1. */
export function pollIntervalMs(random: number): number {
  return POLL_INTERVAL_MS * (1 + POLL_JITTER * (2 * random - 1));
}

/** Age of the last read up to which no extra one is needed. */
export const RECENT_POLL_MS = POLL_INTERVAL_MS * (1 + POLL_JITTER);

/** Factor on the interval of reads of an idle node; 1 in a small fleet. */
export function idlePollFactor(fleetSize: number): number {
  return Math.max(1, fleetSize / FREQUENT_POLLERS);
}
