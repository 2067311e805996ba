/** Rules of an item: priority, terms, what an attempt says of its replica, when it is dead. */
import type { Route } from '../../../protocol/service/routing-configuration.js';
import type { GenerationOutcome } from '../generation/index.js';

/** Priorities of placement, lower first: what was begun must not wait behind new items. */
const PRIORITY_STARTED = 0;
const PRIORITY_NEW = 1;
/** Stall time-out as a multiple of the route's target latency, and its least, ms. Chosen, not measured. */
const STALL_LATENCY_FACTOR = 3;
const MIN_STALL_MS = 1_000;
/** Bounds of an attempt's time, ms. Chosen, not measured: above the longest samples; enough to begin one. */
const MAX_ATTEMPT_MS = 60_000;
const MIN_ATTEMPT_MS = 1_000;
/** Interval of checks in quarantine, ms: an answer elsewhere may clear the item. Chosen, not measured. */
const QUARANTINE_POLL_INTERVAL_MS = 250;

/** Priority of placement. */
export function placementPriority(isStarted: boolean): number {
  return isStarted ? PRIORITY_STARTED : PRIORITY_NEW;
}

/** Time without data after which an attempt is broken off, milliseconds. */
export function stallTimeoutMs({ targetLatencyMs }: Pick<Route, 'targetLatencyMs'>): number {
  return Math.max(MIN_STALL_MS, targetLatencyMs * STALL_LATENCY_FACTOR);
}

/** Time that a replica may work on an attempt, milliseconds, from the age of the job. */
export function attemptTimeoutMs({ maxQueueMs }: Pick<Route, 'maxQueueMs'>, ageMs: number): number {
  return Math.min(MAX_ATTEMPT_MS, Math.max(MIN_ATTEMPT_MS, maxQueueMs - ageMs));
}

/** Pause before a quarantined item is checked again, milliseconds. */
export function quarantinePauseMs(retryAfterMs: number): number {
  return Math.min(QUARANTINE_POLL_INTERVAL_MS, retryAfterMs);
}

/** Whether a text that an earlier owner stored may be continued: no event is older than the job allows. */
export function isTextUsable(versions: readonly number[], minVersion: number): boolean {
  return versions.every((version) => version >= minVersion);
}

/** What an attempt says of its replica: it served, it cannot serve now, or it is faulty. */
export type ReplicaFeedback = 'served' | 'busy' | 'faulty' | 'none';

/** Feedback of an attempt. Failures are the item's own; moves and cancellations are this node's. */
export function replicaFeedback(outcome: GenerationOutcome): ReplicaFeedback {
  if (outcome.kind === 'whole') return 'served';
  if (outcome.kind === 'wrong-version') return 'busy';
  if (outcome.kind === 'declined') return outcome.isFull ? 'busy' : 'faulty';
  return outcome.kind === 'broken' ? 'faulty' : 'none';
}

/** What follows for an item after an attempt. */
export type RetryDecision =
  | { readonly kind: 'dead'; readonly reason: string }
  /** `restarts`: the text is discarded, since the rest would be of another version. */
  | { readonly kind: 'retry'; readonly restarts: boolean };

/**
 * When an item is dead: it can never be run, or replicas failed it as often as its route allows attempts;
 * `failures` include this attempt. Everything else is retried until the item expires.
 */
export function decideRetry(
  outcome: GenerationOutcome,
  failures: number,
  { maxAttempts, isSingleVersion }: Pick<Route, 'maxAttempts' | 'isSingleVersion'>,
): RetryDecision {
  if (outcome.kind === 'impossible') return { kind: 'dead', reason: outcome.reason };
  if (outcome.kind === 'failed' && failures >= maxAttempts)
    return { kind: 'dead', reason: `${failures} failures` };
  return { kind: 'retry', restarts: outcome.kind === 'wrong-version' && isSingleVersion };
}
