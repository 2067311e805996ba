/**
 * Rules of sessions: when a holder counts as lost, fresh or suspect, and how often heartbeats are written and
 * read. Times in milliseconds. `answerMs` is how long an answer of the store usually takes now: on a slow
 * store all waits grow with it.
 */

/** Interval of a holder's heartbeats. Kept after a trial (docs/design/membership-and-time.md). */
export const HEARTBEAT_MS = 250;
/**
 * Interval of reads of holders, of nodes with a suspect, and of all nodes of a small fleet. With half of it
 * 400 nodes would use 1,600 of the store's 2,000 reads a second (docs/design/membership-and-time.md).
 */
const POLL_MS = 500;
/** Share of `POLL_MS` by which reads of different nodes are spread. Chosen, not measured. */
const POLL_SPREAD = 0.05;
/**
 * Nodes that read at `POLL_MS` in a fleet of any size; in a larger one idle nodes read less often in
 * proportion, so that all together read as often as these would: 32 a second. Chosen, not measured.
 */
const FREQUENT_POLLERS = 16;
/** Unanswered heartbeats above which none is sent. Chosen, not measured: a lost answer must not delay it. */
export const MAX_OPEN_HEARTBEATS = 4;
/**
 * Observed time without a new heartbeat after which a holder is lost. Between one and two intervals of reads:
 * a single read without a new heartbeat never suffices, the second one does.
 */
const LOSS_MS = 900;
const LOSS_ANSWERS = 4;
/** Time between two reads that still counts as observed: two intervals of reads and their spread. */
const GAP_MS = 1_100;
/** Age on the store's clock up to which a heartbeat shows a running process: two heartbeats and one read. */
const FRESH_MS = 2 * HEARTBEAT_MS + POLL_MS;
const FRESH_ANSWERS = 2;
/** Age on the store's clock above which a heartbeat is suspect: the second one is missing. */
const SUSPECT_MS = 2.5 * HEARTBEAT_MS;

/** Observed time of silence after which a holder is lost. */
export function lossAfterMs(answerMs: number): number {
  return LOSS_MS + answerMs * LOSS_ANSWERS;
}

/** Whether time between two reads was observed: an outage of the store or a process pause is not. */
export function isObserved(betweenReadsMs: number): boolean {
  return betweenReadsMs <= GAP_MS;
}

/** Age of a heartbeat up to which its process runs. */
export function freshUpToMs(answerMs: number): number {
  return FRESH_MS + answerMs * FRESH_ANSWERS;
}

/** Age of a heartbeat above which it is read frequently, until its process is lost or back. */
export function suspectAfterMs(answerMs: number): number {
  return SUSPECT_MS + answerMs * FRESH_ANSWERS;
}

/** Interval to the next frequent read; `random` is from 0 to 1. */
export function frequentPollMs(random: number): number {
  return POLL_MS * (1 + POLL_SPREAD * (2 * random - 1));
}

/** Age of the last read up to which no extra one is needed. */
export const RECENT_POLL_MS = POLL_MS * (1 + POLL_SPREAD);

/** Factor on the interval of reads of an idle node; 1 in a small fleet. */
export function idlePollFactor(fleetSize: number): number {
  return Math.max(1, fleetSize / FREQUENT_POLLERS);
}
