/**
 * Estimates the wait for a slot of a service from the requests that this node has running. Detects requests
 * that run far longer than expected, which a drain rate of average service times does not show.
 */

/** A request running at a replica. Times are monotonic, in milliseconds. */
export interface RunningRequest {
  readonly sentAtMs: number;
  /** Expected service time, milliseconds. */
  readonly serviceTimeMs: number;
}

/** Slots of a replica and the requests of this node running there. */
export interface ReplicaOccupancy {
  readonly slots: number;
  readonly running: Iterable<RunningRequest>;
  readonly runningCount: number;
}

/**
 * Lower bound of the time until a slot becomes free, milliseconds. 0 if a slot is free, may be held by
 * requests of other nodes, or runs a request that is within its expected service time.
 */
export function slotWaitMs(replicas: Iterable<ReplicaOccupancy>, nowMs: number): number {
  let leastMs = Number.POSITIVE_INFINITY;
  for (const { slots, running, runningCount } of replicas) {
    if (runningCount < slots) return 0;
    for (const request of running) leastMs = Math.min(leastMs, remainingMs(request, nowMs));
  }
  return Number.isFinite(leastMs) ? leastMs : 0;
}

/**
 * Estimated remaining time of a request, milliseconds. One that exceeded its expected service time is assumed
 * to run for as long again, even beyond its deadline.
 */
function remainingMs({ sentAtMs, serviceTimeMs }: RunningRequest, nowMs: number): number {
  const elapsedMs = nowMs - sentAtMs;
  return elapsedMs <= serviceTimeMs ? 0 : elapsedMs;
}
