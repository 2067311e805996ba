/**
 * Counts requests of tenants in the windows in which they began to run. A request counts from the moment at which it is sent
 * to a replica, so that it is counted even if this process ends while the replica works; it no longer counts when the replica
 * says that it did not run it.
 */
import { ConditionVariable } from '../../../common/condition-variable.js';
import type { TenantCounts } from '../../../protocol/service/usage.js';
import type { UsageWindows } from './usage-window.js';

/** Windows that are remembered: counts that the store could not take for longer are lost, and said so. */
const MAX_WINDOWS = 120;

/** Counts of one window. */
interface CountedWindow {
  readonly counts: Map<string, number>;
  /** Rises with each change. */
  changes: number;
}

/** What was counted in a window, at one moment. */
export interface WindowSnapshot {
  readonly counts: TenantCounts;
  /** Stands for this state of the window. */
  readonly changes: number;
}

/** The counters of one process. */
export class UsageCounter {
  /** Told of each change. */
  readonly changed = new ConditionVariable();
  /** Requests in windows that were given up because the store did not take them. */
  lostRequests = 0;
  private readonly windows = new Map<number, CountedWindow>();

  constructor(private readonly time: UsageWindows) {}

  /** Counts a request of `tenant` that is sent now. Call what is returned if it turns out not to have run. */
  begin(tenant: string): () => void {
    const window = this.time.current;
    this.add(window, tenant, 1);
    return () => this.add(window, tenant, -1);
  }

  /** Windows in which something was counted, the oldest first. */
  get counted(): number[] {
    return [...this.windows.keys()].sort((left, right) => left - right);
  }

  /** What was counted in a window so far. */
  snapshot(window: number): WindowSnapshot {
    const { counts, changes } = this.windows.get(window) ?? { counts: new Map<string, number>(), changes: 0 };
    return { counts: Object.fromEntries([...counts].filter(([, count]) => count > 0)), changes };
  }

  /** Forgets a window whose counts are kept elsewhere. */
  forget(window: number): void {
    this.windows.delete(window);
  }

  private add(window: number, tenant: string, count: number): void {
    const entry = this.windows.get(window) ?? { counts: new Map<string, number>(), changes: 0 };
    entry.counts.set(tenant, (entry.counts.get(tenant) ?? 0) + count);
    entry.changes += 1;
    this.windows.set(window, entry);
    if (this.windows.size > MAX_WINDOWS) this.giveUpOldest();
    this.changed.notifyAll();
  }

  private giveUpOldest(): void {
    const oldest = Math.min(...this.windows.keys());
    for (const count of this.windows.get(oldest)?.counts.values() ?? []) this.lostRequests += count;
    this.windows.delete(oldest);
  }
}
