/**
 * Exponentially decayed use of replica time per flow, for fair queueing. A flow is a tenant, or a caller if
 * there are no tenants. Usage is kept in memory per node.
 */

/** Half-life of recorded usage, milliseconds; about as long as callers wait in a queue. */
const USAGE_HALF_LIFE_MS = 1_000;
/**
 * Flows kept, more than a large configuration has tenants; beyond this the least recently used are evicted.
 */
const MAX_FLOWS = 100_000;
/** Usage below which a flow is evicted, milliseconds of replica time; far below one request. */
const MIN_KEPT_USAGE_MS = 1;
/** Evictions per added usage. Above 1, so that the number of flows can shrink. */
const MAX_EVICTIONS_PER_ADD = 2;

interface Usage {
  usedMs: number;
  atMs: number;
}

/** Times are monotonic, in milliseconds. */
export class FlowUsage {
  private readonly usages = new Map<string, Usage>();

  /** Number of flows kept. */
  get size(): number {
    return this.usages.size;
  }

  /** Decayed usage of a flow, milliseconds of replica time. */
  of(flow: string, nowMs: number): number {
    const usage = this.usages.get(flow);
    return usage ? decayed(usage, nowMs) : 0;
  }

  /** Adds usage, milliseconds of replica time. A negative value corrects an overestimate. */
  add(flow: string, usedMs: number, nowMs: number): void {
    const usage = this.usages.get(flow);
    const total = Math.max(0, (usage ? decayed(usage, nowMs) : 0) + usedMs);
    this.usages.delete(flow);
    this.usages.set(flow, { usedMs: total, atMs: nowMs });
    this.evictFlows(nowMs);
  }

  /**
   * Evicts idle flows, and any flow beyond `MAX_FLOWS`. The map iterates from the least recently used flow.
   */
  private evictFlows(nowMs: number): void {
    let removed = 0;
    for (const [flow, usage] of this.usages) {
      const isIdle = decayed(usage, nowMs) < MIN_KEPT_USAGE_MS;
      if (!isIdle && this.usages.size <= MAX_FLOWS) return;
      this.usages.delete(flow);
      removed += 1;
      if (removed >= MAX_EVICTIONS_PER_ADD) return;
    }
  }
}

function decayed({ usedMs, atMs }: Usage, nowMs: number): number {
  return usedMs * 2 ** (-Math.max(0, nowMs - atMs) / USAGE_HALF_LIFE_MS);
}
