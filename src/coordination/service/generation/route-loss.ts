/** When the missing route of an item or a scoring call counts as gone: a configuration may return it before. */

/** Chosen, not measured, ms: a configuration that lacks a route for a moment must make no item dead. */
const MISSING_ROUTE_GRACE_MS = 3_000;

/** Whether a route that was there at `seenAtMs`, or awaited since, is gone; both on the monotonic clock, ms. */
export function isRouteRemoved(seenAtMs: number, nowMs: number): boolean {
  return nowMs - seenAtMs > MISSING_ROUTE_GRACE_MS;
}
