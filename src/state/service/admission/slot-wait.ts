/**
 * Estimates how long no slot of a service becomes free, from the requests that this node has running at its replicas. It covers work that
 * takes much longer than its kind usually does, of which a drain rate made from usual times knows nothing.
 *
 * Pure: the time is passed in.
 */

/** A request that runs at a replica. Times are on the monotonic clock, milliseconds. */
export interface RunningRequest {
  readonly sentAtMs: number;
  /** Expected service time, milliseconds. */
  readonly serviceTimeMs: number;
}

/** The requests of this node at one replica, and the requests that it runs at once. */
export interface ReplicaUse {
  readonly slots: number;
  readonly running: Iterable<RunningRequest>;
  readonly runningCount: number;
}

/**
 * Least expected time until a slot becomes free, milliseconds; 0 where one is free, where requests of other nodes may hold it, or where a
 * request runs no longer than expected.
 */
export function slotWaitMs(replicas: Iterable<ReplicaUse>, nowMs: number): number {
  let leastMs = Number.POSITIVE_INFINITY;
  for (const { slots, running, runningCount } of replicas) {
    if (runningCount < slots) return 0;
    for (const request of running) leastMs = Math.min(leastMs, remainingMs(request, nowMs));
  }
  return Number.isFinite(leastMs) ? leastMs : 0;
}

/**
 * Remaining time of a request, milliseconds. One that has run longer than expected is taken to run as long again. That its deadline may end
 * it sooner does not count: the slot is free then, but of a replica that has needed longer than that for a request.
 */
function remainingMs({ sentAtMs, serviceTimeMs }: RunningRequest, nowMs: number): number {
  const elapsedMs = nowMs - sentAtMs;
  return elapsedMs <= serviceTimeMs ? 0 : elapsedMs;
}
