/**
 * Intervals and timeouts of heartbeats, in milliseconds. `latencyMs` is the current average latency of the
 * store; timeouts grow with it.
 */

export const HEARTBEAT_INTERVAL_MS = 250;
/** Frequent interval: for holders, nodes with a suspect heartbeat, and all nodes of a small fleet. */
const POLL_INTERVAL_MS = 500;
/** Random spread of polls, as a fraction of the interval to either side. */
const POLL_JITTER = 0.05;
/**
 * Largest fleet in which idle nodes poll at `POLL_INTERVAL_MS`. In a larger one their interval grows in
 * proportion, which keeps the load on the store constant: 32 reads a second.
 */
const FREQUENT_POLLERS = 16;
/** More than one, so that a lost answer does not delay the next heartbeat. */
export const MAX_PENDING_HEARTBEATS = 4;
/** Between one and two poll intervals: two polls without a new heartbeat are needed, and sufficient. */
const LOSS_TIMEOUT_MS = 900;
const LOSS_LATENCY_FACTOR = 4;
/** Two poll intervals with jitter. */
const MAX_READ_GAP_MS = 1_100;
/** Two heartbeats and one poll, by the store's clock. */
const MAX_FRESH_AGE_MS = 2 * HEARTBEAT_INTERVAL_MS + POLL_INTERVAL_MS;
const AGE_LATENCY_FACTOR = 2;
/** The second heartbeat is missing, by the store's clock. */
const MIN_SUSPECT_AGE_MS = 2.5 * HEARTBEAT_INTERVAL_MS;

/** Observed time without a new heartbeat after which a holder is lost. */
export function lossTimeoutMs(latencyMs: number): number {
  return LOSS_TIMEOUT_MS + latencyMs * LOSS_LATENCY_FACTOR;
}

/** Whether the time since the last read counts as observed: false after an outage or a process pause. */
export function isObserved(sinceLastReadMs: number): boolean {
  return sinceLastReadMs <= MAX_READ_GAP_MS;
}

/** Age of a heartbeat up to which its process counts as running. */
export function maxFreshAgeMs(latencyMs: number): number {
  return MAX_FRESH_AGE_MS + latencyMs * AGE_LATENCY_FACTOR;
}

/** Age of a heartbeat above which nodes poll frequently, until its process is lost or back. */
export function minSuspectAgeMs(latencyMs: number): number {
  return MIN_SUSPECT_AGE_MS + latencyMs * AGE_LATENCY_FACTOR;
}

/** Frequent interval with jitter; `random` is in [0, 1). */
export function pollIntervalMs(random: number): number {
  return POLL_INTERVAL_MS * (1 + POLL_JITTER * (2 * random - 1));
}

/** Age up to which the last poll is recent enough for a refresh. */
export const RECENT_POLL_MS = POLL_INTERVAL_MS * (1 + POLL_JITTER);

/** Factor on the poll interval of an idle node; 1 in a small fleet. */
export function idlePollFactor(fleetSize: number): number {
  return Math.max(1, fleetSize / FREQUENT_POLLERS);
}
