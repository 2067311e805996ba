/**
 * Estimates how long no slot of a service becomes free, from the requests that this node has running. Covers
 * work that takes much longer than its kind usually does, which a drain rate made of usual times misses.
 *
 * Pure: the time is an argument.
 */

/** A request that runs at a replica. Times are on the monotonic clock, milliseconds. */
export interface RunningRequest {
  readonly sentAtMs: number;
  /** Expected service time, milliseconds. */
  readonly serviceTimeMs: number;
}

/** The slots of one replica, and the requests of this node that run there. */
export interface ReplicaOccupancy {
  readonly slots: number;
  readonly running: Iterable<RunningRequest>;
  readonly runningCount: number;
}

/**
 * Least expected time until a slot becomes free, milliseconds; 0 where one is free, may be held by requests
 * of other nodes, or runs a request that has not yet exceeded its expected time.
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
 * Remaining time of a request, milliseconds. One that exceeded its expected time is assumed to run as long
 * again, even beyond its deadline: that frees the slot of a replica which is too slow for such a request.
 */
function remainingMs({ sentAtMs, serviceTimeMs }: RunningRequest, nowMs: number): number {
  const elapsedMs = nowMs - sentAtMs;
  return elapsedMs <= serviceTimeMs ? 0 : elapsedMs;
}
