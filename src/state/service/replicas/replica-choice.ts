/**
 * Chooses the replica at which a request is answered soonest, or says that waiting for a faster one is sooner. It answers loads
 * under which replicas differ: with three of four replicas five times slower, equal counts put three quarters of the requests on
 * the slow ones while the fast one stands idle. No replica idles while a fit request waits, unless it is so slow that the request
 * ends sooner by waiting for another.
 */
import type { ReplicaState } from './replica-state.js';

/** What a choice is made with. */
export interface ChoiceTerms {
  /** Requests that a replica runs at once. */
  readonly slotsOf: (state: ReplicaState) => number;
  /** What a replica's distance counts, as a part of its places. */
  readonly distance: (state: ReplicaState) => number;
  /** Requests that a cold replica is to get in a second from this node; `undefined` where they bear all. */
  readonly slowStartPerSecond?: (state: ReplicaState) => number | undefined;
  /** Usual time of the request, and of all that wait before it, milliseconds. */
  readonly serviceTimeMs: number;
  readonly queuedAheadMs: number;
}

/** What follows for a request. */
export type Choice =
  | { readonly kind: 'send'; readonly state: ReplicaState; readonly expectedMs: number }
  /** All are full, or the free ones so slow that a place at another is sooner. */
  | { readonly kind: 'wait' }
  /** No replica can be given requests. */
  | { readonly kind: 'none' };

/**
 * Replicas that take up to so many times as long as the fastest are alike: the mean of some ten requests of mixed length is off by
 * a third. Slower ones are used where they are sooner than a place at one of these.
 */
const SLOW_FACTOR = 2;
/** What is known of one candidate. */
interface Candidate {
  readonly state: ReplicaState;
  readonly slots: number;
  readonly timeMs: number;
}

/** Whether it may be given one more: a slow replica whose speed was measured long ago gets one at a time. */
function hasFreeSlot({ state, slots }: Candidate, terms: ChoiceTerms): boolean {
  const slowStartPerSecond = terms.slowStartPerSecond?.(state);
  if (
    state.isBackingOff ||
    (slowStartPerSecond !== undefined && !state.allowsInSlowStart(slowStartPerSecond))
  )
    return false;
  return state.occupied < (state.isLatencyStale ? 1 : slots);
}

const slotsOf = (state: ReplicaState, terms: Pick<ChoiceTerms, 'slotsOf'>) =>
  Math.max(1, terms.slotsOf(state));

/** Usual time of requests that the replicas end in a millisecond while they are full. */
export function drainRate(states: readonly ReplicaState[], terms: Pick<ChoiceTerms, 'slotsOf'>): number {
  return states.reduce((sum, state) => sum + slotsOf(state, terms) / state.latencyRatio, 0);
}

/** Places that are free, and all places. */
export function capacityOf(
  states: readonly ReplicaState[],
  terms: Pick<ChoiceTerms, 'slotsOf'>,
): { free: number; all: number } {
  let free = 0;
  let all = 0;
  for (const state of states) {
    const slots = slotsOf(state, terms);
    all += slots;
    if (!state.isBackingOff) free += Math.max(0, slots - state.occupied);
  }
  return { free, all };
}

/** The replica for a request among `states`, which may all take it. */
export function chooseReplica(states: readonly ReplicaState[], terms: ChoiceTerms): Choice {
  if (states.length === 0) return { kind: 'none' };
  const sound = states.filter((state) => !state.isEjected);
  const candidates = (sound.length > 0 ? sound : states).map((state) => ({
    state,
    slots: slotsOf(state, terms),
    timeMs: terms.serviceTimeMs * state.latencyRatio,
  }));
  const fastestMs = Math.min(...candidates.map(({ timeMs }) => timeMs));
  const free = candidates.filter((candidate) => hasFreeSlot(candidate, terms));
  const alike = emptiestOf(
    free.filter(({ timeMs }) => timeMs <= fastestMs * SLOW_FACTOR),
    terms,
  );
  if (alike) return toSend(alike);
  const slow = soonestOf(free);
  if (!slow) return { kind: 'wait' };
  return slow.timeMs <= waitMs(candidates, fastestMs, terms) + fastestMs ? toSend(slow) : { kind: 'wait' };
}

function toSend({ state, timeMs }: Candidate): Choice {
  return { kind: 'send', state, expectedMs: timeMs };
}

/** The emptiest of replicas that are alike; equal ones take turns: the one that was given nothing for the longest time comes first. */
function emptiestOf(candidates: readonly Candidate[], terms: ChoiceTerms): Candidate | undefined {
  let best: Candidate | undefined;
  let bestLoad = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const { state, slots } = candidate;
    const load = state.occupied / slots + terms.distance(state);
    const isTurn = load === bestLoad && best && state.lastAssignedAtMs < best.state.lastAssignedAtMs;
    if (load > bestLoad || (load === bestLoad && !isTurn)) continue;
    best = candidate;
    bestLoad = load;
  }
  return best;
}

function soonestOf(candidates: readonly Candidate[]): Candidate | undefined {
  let best: Candidate | undefined;
  for (const candidate of candidates) if (!best || candidate.timeMs < best.timeMs) best = candidate;
  return best;
}

/** How long the request would wait for a place at one of the fast replicas, milliseconds. */
function waitMs(candidates: readonly Candidate[], fastestMs: number, terms: ChoiceTerms): number {
  const fast = candidates.filter(({ timeMs }) => timeMs <= fastestMs * SLOW_FACTOR);
  const perMs = fast.reduce((sum, { slots, timeMs }) => sum + (slots * terms.serviceTimeMs) / timeMs, 0);
  return (terms.queuedAheadMs + terms.serviceTimeMs) / perMs;
}
