/**
 * Counts requests of tenants in the windows in which they began to run. A request counts from the moment at
 * which it is sent to a replica, so that it is counted even if this process ends meanwhile; it no longer
 * counts when the replica reports that it did not run it. Counts are in memory until `UsageWriter` has stored
 * them.
 */
import { ConditionVariable } from '../../../common/condition-variable.js';
import type { TenantCounts } from '../../../protocol/service/usage.js';
import type { UsageWindows } from './usage-window.js';

/** Windows kept in memory; older ones are dropped and added to `lostRequests`. Chosen, not measured. */
const MAX_WINDOWS = 120;

/** Counts of one window. */
interface WindowCounts {
  readonly counts: Map<string, number>;
  /** Rises with each change. */
  changes: number;
}

/** What was counted in a window, at one moment. */
export interface WindowSnapshot {
  readonly counts: TenantCounts;
  /** Identifies this state of the window. */
  readonly changes: number;
}

/** The counters of one process. */
export class UsageCounter {
  /** Notified of each change. */
  readonly changed = new ConditionVariable();
  /** Requests in windows that were dropped because the store did not accept them. */
  lostRequests = 0;
  private readonly windows = new Map<number, WindowCounts>();

  constructor(private readonly usageWindows: UsageWindows) {}

  /** Counts a request of `tenant` that is sent now. Call what is returned if it turns out not to have run. */
  countRequest(tenant: string): () => void {
    const window = this.usageWindows.current;
    this.add(window, tenant, 1);
    return () => this.add(window, tenant, -1);
  }

  /** Windows in which something was counted, the oldest first. */
  get countedWindows(): number[] {
    return [...this.windows.keys()].sort((left, right) => left - right);
  }

  /** What was counted in a window so far. */
  snapshot(window: number): WindowSnapshot {
    const { counts, changes } = this.windows.get(window) ?? { counts: new Map<string, number>(), changes: 0 };
    return { counts: Object.fromEntries([...counts].filter(([, count]) => count > 0)), changes };
  }

  /** Drops a window whose counts are stored. */
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
