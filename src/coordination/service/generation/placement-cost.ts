/** Cost function by which `placement.ts` chooses a replica for a generation request. */

export interface PlacementCostInput {
  /** Mean event interval at the replica, milliseconds; 0 while unknown. */
  readonly averageMs: number;
  /** Mean event interval at the fastest candidate, milliseconds; infinite while unknown. */
  readonly fastestMs: number;
  readonly expectedEvents: number;
  /** Requests from this node that the replica is running. */
  readonly inFlight: number;
  /** Requests that the replica can run concurrently. */
  readonly slots: number;
  readonly isOtherZone: boolean;
  /** Whether the replica declined its most recent request. */
  readonly hasDeclined: boolean;
}

/** Below the run time of a long request, so that speed outweighs load for long requests. */
const FULL_REPLICA_COST_MS = 1_000;
const OTHER_ZONE_COST_MS = 50;
/** Fraction of its run time that a request loses at a full replica. */
const FULL_REPLICA_SLOWDOWN = 0.1;
/** Above the cost of a full replica, so that a replica that declined is tried last. */
const DECLINED_COST_MS = 3_000;

/**
 * Expected run time at a replica plus penalties for load, distance and a recent decline, milliseconds. The
 * speed of the replica dominates for long requests, its load for short ones.
 */
export function placementCostMs(input: PlacementCostInput): number {
  const defaultMs = Number.isFinite(input.fastestMs) ? input.fastestMs : 0;
  const runMs = (input.averageMs || defaultMs) * input.expectedEvents;
  const load = input.inFlight / Math.max(1, input.slots);
  const loadMs = load * (FULL_REPLICA_COST_MS + runMs * FULL_REPLICA_SLOWDOWN);
  const distanceMs = input.isOtherZone ? OTHER_ZONE_COST_MS : 0;
  const declinedMs = input.hasDeclined ? DECLINED_COST_MS : 0;
  return runMs + loadMs + distanceMs + declinedMs;
}
