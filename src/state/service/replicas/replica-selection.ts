/**
 * Selects the replica for a generation request. Generation requests are long and do not pass a dispatcher, so
 * they are placed by a cost function of the caller, with an optional preferred replica, and never at
 * unhealthy replicas, since a request may wait. Other requests are balanced by `replica-choice.ts`.
 */
import type { ReplicaState } from './replica-state.js';

/** A preferred replica is used up to this multiple of the lowest `averageMs`. */
const MAX_PREFERRED_LATENCY_RATIO = 1.2;

/** Input of `selectGenerationReplica`. */
export interface SelectionCriteria {
  readonly service: string;
  /** Zone of this node. */
  readonly zone: string;
  /** Whether a replica is a candidate. */
  readonly accepts: (state: ReplicaState) => boolean;
  /** Used if it is a candidate and nearly as fast as the fastest. */
  readonly preferred?: ReplicaState;
  readonly cost: ReplicaCost;
}

/** Cost of a replica for a node in `zone`. `fastestMs` is the lowest `averageMs`, infinite if unknown. */
export type ReplicaCost = (state: ReplicaState, zone: string, fastestMs: number) => number;

/** Returns the preferred replica or the one with the lowest cost; `undefined` if there is no candidate. */
export function selectGenerationReplica(
  states: readonly ReplicaState[],
  { accepts, preferred, zone, cost }: SelectionCriteria,
): ReplicaState | undefined {
  const candidates = states.filter((state) => accepts(state) && !state.isUnhealthy);
  const fastestMs = lowestAverageMs(candidates);
  if (
    preferred &&
    candidates.includes(preferred) &&
    preferred.averageMs <= fastestMs * MAX_PREFERRED_LATENCY_RATIO
  )
    return preferred;
  let best: ReplicaState | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const state of candidates) {
    const stateCost = cost(state, zone, fastestMs);
    if (stateCost >= bestCost) continue;
    best = state;
    bestCost = stateCost;
  }
  return best;
}

function lowestAverageMs(candidates: readonly ReplicaState[]): number {
  return Math.min(...candidates.map((state) => state.averageMs || Number.POSITIVE_INFINITY));
}
