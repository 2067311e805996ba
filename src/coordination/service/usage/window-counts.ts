/** Evaluates the stored counts of a window: totals by tenant, and nodes that may still add to it. */
import type { TenantCounts } from '../../../protocol/service/usage.js';
import type { StoredCount } from '../../../state/service/usage/index.js';

/** Number of preceding windows that show which nodes are running; see `missingNodes`. */
export const LOOKBACK_WINDOWS = 2;

/**
 * Nodes that may still add to a window: those that closed one of the preceding `LOOKBACK_WINDOWS`, but not
 * this one. A node that has stopped for good therefore delays at most that many windows.
 */
export function missingNodes(counts: readonly StoredCount[], window: number): string[] {
  const closedCounts = (from: number, to: number) =>
    counts.filter((count) => count.isClosed && count.window >= from && count.window <= to);
  const closed = new Set(closedCounts(window, window).map(({ node }) => node));
  const activeNodes = new Set(closedCounts(window - LOOKBACK_WINDOWS, window - 1).map(({ node }) => node));
  return [...activeNodes].filter((node) => !closed.has(node));
}

/** Requests of a window by tenant over all processes, sorted by tenant name. */
export function sumByTenant(counts: readonly StoredCount[], window: number): TenantCounts {
  const totals = new Map<string, number>();
  for (const count of counts) {
    if (count.window !== window) continue;
    for (const [tenant, requests] of Object.entries(count.counts))
      totals.set(tenant, (totals.get(tenant) ?? 0) + requests);
  }
  return Object.fromEntries([...totals].sort(([left], [right]) => (left < right ? -1 : 1)));
}
