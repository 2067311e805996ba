/**
 * Replica for a generation request, as its placement selects it. Differs from `replica-choice.ts`, which
 * serves the queue of a service: generation requests are long and few, belong to jobs that each node owns,
 * and do not pass a dispatcher. So the cost is the expected time by this node's measurements of events, given
 * by the caller; unhealthy replicas are never used, since a request may wait; a group may prefer a replica.
 *
 * Pure, but for what the replica states read from the clock.
 */
import type { ReplicaState } from './replica-state.js';

/** A preferred replica is used up to this multiple of the fastest `averageMs`. Chosen, not measured. */
const MAX_PREFERRED_LATENCY_RATIO = 1.2;

/** What a selection depends on. */
export interface SelectionCriteria {
  readonly service: string;
  /** Zone of the node, for the cost. */
  readonly zone: string;
  /** Whether a replica may be used. */
  readonly accepts: (state: ReplicaState) => boolean;
  /** Used when it is a candidate and about as fast as the fastest. */
  readonly preferred?: ReplicaState;
  readonly cost: ReplicaCost;
}

/** Cost for a node of `zone`; `fastestMs` is the lowest `averageMs`, infinite if unknown. */
export type ReplicaCost = (state: ReplicaState, zone: string, fastestMs: number) => number;

/** The preferred one or that of lowest cost of the available `states`; `undefined` when none fits. */
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
