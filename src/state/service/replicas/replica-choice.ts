/**
 * Load balancing of queued requests: sends a request to the replica expected to finish it first, or keeps it
 * queued if waiting for a faster replica is quicker. Replicas differ in speed, so equal numbers of requests
 * would leave the fast ones idle. Ejected replicas are used only if there are no others; replicas that back
 * off get no requests. Generation requests are placed by `replica-selection.ts` instead.
 */
import { SLOW_LATENCY_RATIO } from './latency-estimate.js';
import type { ReplicaState } from './replica-state.js';

/** Input of `chooseReplica`. Times in milliseconds. */
export interface ReplicaChoiceInput {
  /** Number of concurrent requests of a replica. */
  readonly slotsOf: (state: ReplicaState) => number;
  /** Penalty for a distant zone, added to the load of a replica as a fraction of its slots. */
  readonly zonePenalty: (state: ReplicaState) => number;
  /** Rate limit of this node for a replica in slow start, requests per second; `undefined` for no limit. */
  readonly slowStartPerSecond?: (state: ReplicaState) => number | undefined;
  /** Average service time of the request, and the sum of those queued ahead of it. */
  readonly serviceTimeMs: number;
  readonly queuedAheadMs: number;
}

/** Result of `chooseReplica`. `expectedMs` is the expected service time at the chosen replica. */
export type ReplicaChoice =
  | { readonly kind: 'send'; readonly state: ReplicaState; readonly expectedMs: number }
  /** No slot is free, or waiting for a faster replica is quicker than using a free one. */
  | { readonly kind: 'wait' }
  /** No replica is available. */
  | { readonly kind: 'none' };

interface Candidate {
  readonly state: ReplicaState;
  readonly slots: number;
  /** Expected service time of the request at this replica. */
  readonly timeMs: number;
}

/**
 * Chooses the least loaded of the replicas within `SLOW_LATENCY_RATIO` of the fastest; smaller differences
 * are within the error of the estimates. A slower replica is chosen only if it would finish the request
 * sooner than the wait for a fast one.
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

/** Service time that the replicas complete per millisecond with all slots in use. */
export function drainRate(
  states: readonly ReplicaState[],
  input: Pick<ReplicaChoiceInput, 'slotsOf'>,
): number {
  return states.reduce((sum, state) => sum + slotsOf(state, input) / state.latencyRatio, 0);
}

/** Free and total slots. Slots of replicas that back off do not count as free. */
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

/** Whether the replica may get the request. A slow one without recent measurements gets one at a time. */
function hasFreeSlot({ state, slots }: Candidate, input: ReplicaChoiceInput): boolean {
  const perSecond = input.slowStartPerSecond?.(state);
  if (state.isBackingOff) return false;
  if (perSecond !== undefined && !state.allowsInSlowStart(perSecond)) return false;
  return state.occupied < (state.isLatencyStale ? 1 : slots);
}

function sendTo({ state, timeMs }: Candidate): ReplicaChoice {
  return { kind: 'send', state, expectedMs: timeMs };
}

/** The candidate with the least load; ties go to the least recently used one. */
function leastLoaded(candidates: readonly Candidate[], input: ReplicaChoiceInput): Candidate | undefined {
  let best: Candidate | undefined;
  let bestLoad = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const { state, slots } = candidate;
    const load = state.occupied / slots + input.zonePenalty(state);
    const isLessRecent = load === bestLoad && best && state.lastSentAtMs < best.state.lastSentAtMs;
    if (load > bestLoad || (load === bestLoad && !isLessRecent)) continue;
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

/** Expected wait for a slot of a fast replica, milliseconds. */
function fastSlotWaitMs(
  candidates: readonly Candidate[],
  fastestMs: number,
  input: ReplicaChoiceInput,
): number {
  const fast = candidates.filter(({ timeMs }) => timeMs <= fastestMs * SLOW_LATENCY_RATIO);
  const perMs = fast.reduce((sum, { slots, timeMs }) => sum + (slots * input.serviceTimeMs) / timeMs, 0);
  return (input.queuedAheadMs + input.serviceTimeMs) / perMs;
}
