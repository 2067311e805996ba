/** Rules for the items of a job: placement priority, time-outs, replica feedback, and when to retry. */
import type { Route } from '../../../protocol/service/routing-configuration.js';
import type { GenerationOutcome } from '../generation/index.js';

/** Placement priorities, lower first: started items must not wait behind new ones. */
const PRIORITY_STARTED = 0;
const PRIORITY_NEW = 1;
/** Stall time-out as a multiple of the route's target latency. */
const STALL_LATENCY_FACTOR = 3;
const MIN_STALL_MS = 1_000;
/**
 * Bounds of the time that a replica may spend on an attempt: more than the longest samples take, and enough
 * to begin one.
 */
const MAX_ATTEMPT_MS = 60_000;
const MIN_ATTEMPT_MS = 1_000;

export function placementPriority(isStarted: boolean): number {
  return isStarted ? PRIORITY_STARTED : PRIORITY_NEW;
}

/** Time without an event after which an attempt is aborted, milliseconds. */
export function stallTimeoutMs({ targetLatencyMs }: Pick<Route, 'targetLatencyMs'>): number {
  return Math.max(MIN_STALL_MS, targetLatencyMs * STALL_LATENCY_FACTOR);
}

/** Time that a replica may spend on an attempt, milliseconds; `ageMs` is the age of the job. */
export function attemptTimeoutMs({ maxQueueMs }: Pick<Route, 'maxQueueMs'>, ageMs: number): number {
  return Math.min(MAX_ATTEMPT_MS, Math.max(MIN_ATTEMPT_MS, maxQueueMs - ageMs));
}

/** Whether a stored text may be continued: no event is of an older weight version than the job allows. */
export function isTextUsable(versions: readonly number[], minVersion: number): boolean {
  return versions.every((version) => version >= minVersion);
}

/** Effect of an attempt on the replica's health. `busy`: the replica cannot serve the item at present. */
export type ReplicaFeedback = 'served' | 'busy' | 'faulty' | 'none';

/** Failures and mismatches of the version are about the item; moves and cancellations are decided by this node. */
export function replicaFeedback(outcome: GenerationOutcome): ReplicaFeedback {
  if (outcome.kind === 'whole') return 'served';
  if (outcome.kind === 'wrong-version') return 'busy';
  if (outcome.kind === 'declined') return outcome.isFull ? 'busy' : 'faulty';
  return outcome.kind === 'broken' ? 'faulty' : 'none';
}

export type RetryDecision =
  | { readonly kind: 'dead'; readonly reason: string }
  /** `restarts`: the text is discarded, since the remainder would be of another weight version. */
  | { readonly kind: 'retry'; readonly restarts: boolean };

/**
 * An item is dead, that is, failed for good, if no replica can ever run it, or if replicas failed it as often
 * as its route allows attempts; `failures` includes this attempt. All other outcomes are retried until the
 * item expires.
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
