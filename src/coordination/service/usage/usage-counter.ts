/**
 * Counts requests per tenant and window in memory until `UsageWriter` has stored them. A request is counted
 * when it is sent to a replica, and the count is reverted if the replica reports that it did not run.
 */
import { ConditionVariable } from '../../../common/condition-variable.js';
import type { TenantCounts } from '../../../protocol/service/usage.js';
import type { UsageWindows } from './usage-window.js';

/** Older windows are dropped and added to `lostRequests`. */
const MAX_WINDOWS = 120;

interface WindowCounts {
  readonly counts: Map<string, number>;
  /** Incremented by each change. */
  changes: number;
}

export interface WindowSnapshot {
  readonly counts: TenantCounts;
  /** Value of the window's change counter. */
  readonly changes: number;
}

export class UsageCounter {
  /** Notified of each change. */
  readonly changed = new ConditionVariable();
  /** Requests in windows that were dropped before the store accepted them. */
  lostRequests = 0;
  private readonly windows = new Map<number, WindowCounts>();

  constructor(private readonly usageWindows: UsageWindows) {}

  /**
   * Counts a request in the current window. The returned function reverts the count if the request did not
   * run.
   */
  countRequest(tenant: string): () => void {
    const window = this.usageWindows.current;
    this.add(window, tenant, 1);
    return () => this.add(window, tenant, -1);
  }

  /** Windows with counts, oldest first. */
  get countedWindows(): number[] {
    return [...this.windows.keys()].sort((left, right) => left - right);
  }

  snapshot(window: number): WindowSnapshot {
    const { counts, changes } = this.windows.get(window) ?? { counts: new Map<string, number>(), changes: 0 };
    return { counts: Object.fromEntries([...counts].filter(([, count]) => count > 0)), changes };
  }

  /** Removes a window whose counts are stored. */
  drop(window: number): void {
    this.windows.delete(window);
  }

  private add(window: number, tenant: string, count: number): void {
    const entry = this.windows.get(window) ?? { counts: new Map<string, number>(), changes: 0 };
    entry.counts.set(tenant, (entry.counts.get(tenant) ?? 0) + count);
    entry.changes += 1;
    this.windows.set(window, entry);
    if (this.windows.size > MAX_WINDOWS) this.dropOldest();
    this.changed.notifyAll();
  }

  private dropOldest(): void {
    const oldest = Math.min(...this.windows.keys());
    for (const count of this.windows.get(oldest)?.counts.values() ?? []) this.lostRequests += count;
    this.windows.delete(oldest);
  }
}
