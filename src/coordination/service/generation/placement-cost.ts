/** What a generation request costs at a replica: the rule by which `placement.ts` chooses. */

/** Inputs of the cost. */
export interface PlacementCostInput {
  /** Measured time of an event at the replica, milliseconds; 0 while none was measured. */
  readonly averageMs: number;
  /** Time of an event at the fastest candidate, milliseconds; infinite while none was measured. */
  readonly fastestMs: number;
  readonly expectedEvents: number;
  /** Requests that this node runs there, and those that it runs at once. */
  readonly inFlight: number;
  readonly slots: number;
  readonly isOtherZone: boolean;
  /** Whether it declined the last request. */
  readonly hasDeclined: boolean;
}

/** Cost of a full replica, and of another zone, ms. Chosen, not measured: less than a long request's time. */
const FULL_REPLICA_COST_MS = 1_000;
const OTHER_ZONE_COST_MS = 50;
/** Share of its time that a request loses at a full replica. Chosen; 5 to 9% were seen at fewer requests. */
const FULL_REPLICA_SLOWDOWN = 0.1;
/** Cost of a replica that declined the last request, ms. Chosen: above a full one, so it is tried last. */
const DECLINED_COST_MS = 3_000;

/**
 * Expected time of the request at a replica, and what it costs the others there, milliseconds: the longer a
 * request, the more the speed of the replica counts; the shorter, the more its load.
 */
export function placementCostMs(input: PlacementCostInput): number {
  const usualMs = Number.isFinite(input.fastestMs) ? input.fastestMs : 0;
  const runMs = (input.averageMs || usualMs) * input.expectedEvents;
  const load = input.inFlight / Math.max(1, input.slots);
  const loadMs = load * (FULL_REPLICA_COST_MS + runMs * FULL_REPLICA_SLOWDOWN);
  const distanceMs = input.isOtherZone ? OTHER_ZONE_COST_MS : 0;
  const declinedMs = input.hasDeclined ? DECLINED_COST_MS : 0;
  return runMs + loadMs + distanceMs + declinedMs;
}
