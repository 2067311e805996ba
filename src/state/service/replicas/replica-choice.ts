/**
 * Replica for a request in the queue of a service: the one at which it is answered soonest, or none where
 * waiting for a faster one is sooner. Replicas differ in speed, so equal counts would leave fast ones idle.
 * No replica idles while a request waits for it, unless it is so slow that the request ends sooner elsewhere.
 *
 * Rests on the usual time per kind of request and on each replica's latency ratio. Differs from
 * `replica-selection.ts`, which places generation requests. Ejected replicas are used when there are no
 * others; replicas that back off are waited for.
 */
import { SLOW_LATENCY_RATIO } from './latency-estimate.js';
import type { ReplicaState } from './replica-state.js';

/** Inputs of the choice. Times in milliseconds. */
export interface ReplicaChoiceInput {
  /** Requests that a replica runs at once. */
  readonly slotsOf: (state: ReplicaState) => number;
  /** Added to the load of a replica, as a share of its slots: its distance. */
  readonly zonePenalty: (state: ReplicaState) => number;
  /** Requests that a replica in slow start may get from this node in a second; `undefined` for no limit. */
  readonly slowStartPerSecond?: (state: ReplicaState) => number | undefined;
  /** Usual time of the request, and of all that are queued ahead of it. */
  readonly serviceTimeMs: number;
  readonly queuedAheadMs: number;
}

/** The decision. `expectedMs` is the expected service time at the replica. */
export type ReplicaChoice =
  | { readonly kind: 'send'; readonly state: ReplicaState; readonly expectedMs: number }
  /** No slot is free, or only slots of replicas so slow that waiting for another is sooner. */
  | { readonly kind: 'wait' }
  /** There is no replica. */
  | { readonly kind: 'none' };

interface Candidate {
  readonly state: ReplicaState;
  readonly slots: number;
  /** Expected service time of the request there. */
  readonly timeMs: number;
}

/**
 * Replicas up to `SLOW_RATIO` times as slow as the fastest are equal, since the estimates are no better than
 * that; the one of least load is chosen. A slower one is chosen only where the request ends there first.
 */
export function chooseReplica(states: readonly ReplicaState[], input: ReplicaChoiceInput): ReplicaChoice {
  if (states.length === 0) return { kind: 'none' };
  const healthy = states.filter((state) => !state.isEjected);
  const candidates = (healthy.length > 0 ? healthy : states).map((state) => ({
    state,
    slots: slotsOf(state, input),
    timeMs: input.serviceTimeMs * state.latencyRatio,
  }));
  const fastestMs = Math.min(...candidates.map(({ timeMs }) => timeMs));
  const free = candidates.filter((candidate) => hasFreeSlot(candidate, input));
  const fast = leastLoaded(
    free.filter(({ timeMs }) => timeMs <= fastestMs * SLOW_LATENCY_RATIO),
    input,
  );
  if (fast) return sendTo(fast);
  const slow = fastestCandidate(free);
  if (!slow) return { kind: 'wait' };
  return slow.timeMs <= fastSlotWaitMs(candidates, fastestMs, input) + fastestMs
    ? sendTo(slow)
    : { kind: 'wait' };
}

/** Work that the replicas finish in a millisecond with all slots taken, milliseconds. */
export function drainRate(
  states: readonly ReplicaState[],
  input: Pick<ReplicaChoiceInput, 'slotsOf'>,
): number {
  return states.reduce((sum, state) => sum + slotsOf(state, input) / state.latencyRatio, 0);
}

/** Free slots, and all slots. Slots of replicas that back off are not free. */
export function capacityOf(
  states: readonly ReplicaState[],
  input: Pick<ReplicaChoiceInput, 'slotsOf'>,
): { free: number; all: number } {
  let free = 0;
  let all = 0;
  for (const state of states) {
    const slots = slotsOf(state, input);
    all += slots;
    if (!state.isBackingOff) free += Math.max(0, slots - state.occupied);
  }
  return { free, all };
}

function slotsOf(state: ReplicaState, input: Pick<ReplicaChoiceInput, 'slotsOf'>): number {
  return Math.max(1, input.slotsOf(state));
}

/** A slow replica without recent measurements gets one request at a time. */
function hasFreeSlot({ state, slots }: Candidate, input: ReplicaChoiceInput): boolean {
  const perSecond = input.slowStartPerSecond?.(state);
  if (state.isBackingOff) return false;
  if (perSecond !== undefined && !state.allowsInSlowStart(perSecond)) return false;
  return state.occupied < (state.isLatencyStale ? 1 : slots);
}

function sendTo({ state, timeMs }: Candidate): ReplicaChoice {
  return { kind: 'send', state, expectedMs: timeMs };
}

/** The candidate of least load; of equal ones the one that was sent nothing for the longest time. */
function leastLoaded(candidates: readonly Candidate[], input: ReplicaChoiceInput): Candidate | undefined {
  let best: Candidate | undefined;
  let bestLoad = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const { state, slots } = candidate;
    const load = state.occupied / slots + input.zonePenalty(state);
    const isTurn = load === bestLoad && best && state.lastSentAtMs < best.state.lastSentAtMs;
    if (load > bestLoad || (load === bestLoad && !isTurn)) continue;
    best = candidate;
    bestLoad = load;
  }
  return best;
}

function fastestCandidate(candidates: readonly Candidate[]): Candidate | undefined {
  let best: Candidate | undefined;
  for (const candidate of candidates) if (!best || candidate.timeMs < best.timeMs) best = candidate;
  return best;
}

/** How long the request would wait for a slot of a fast replica, milliseconds. */
function fastSlotWaitMs(
  candidates: readonly Candidate[],
  fastestMs: number,
  input: ReplicaChoiceInput,
): number {
  const fast = candidates.filter(({ timeMs }) => timeMs <= fastestMs * SLOW_LATENCY_RATIO);
  const perMs = fast.reduce((sum, { slots, timeMs }) => sum + (slots * input.serviceTimeMs) / timeMs, 0);
  return (input.queuedAheadMs + input.serviceTimeMs) / perMs;
}
