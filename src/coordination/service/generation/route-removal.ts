/** Decides when a route that is missing from the configuration counts as removed. */

/** Tolerates a configuration that lacks the route only briefly, so that it makes no item dead. */
const MISSING_ROUTE_GRACE_MS = 3_000;

/** `lastSeenAtMs`: when the route was last present or the wait for it began. Both on the monotonic clock. */
export function isRouteRemoved(lastSeenAtMs: number, nowMs: number): boolean {
  return nowMs - lastSeenAtMs > MISSING_ROUTE_GRACE_MS;
}
