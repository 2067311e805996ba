/**
 * Recent use of replica time by flow (a tenant, or a caller where there are no tenants), for fair queueing:
 * the flow with the least use is served first, and what the others leave idle goes to any flow at once.
 *
 * Owns the usage at one node, in memory; lost with the process, after which all flows start equal.
 */

/** Half-life of a use, milliseconds. Chosen, not measured: about as long as callers wait in a queue. */
const USAGE_HALF_LIFE_MS = 1_000;
/** Flows that are kept. Chosen, not measured: more than the tenants of a large configuration. */
const MAX_FLOWS = 100_000;
/** Use below which a flow is removed, milliseconds of replica time. Chosen: far below one request. */
const MIN_KEPT_USAGE_MS = 1;
/** Flows removed at each addition, at most. Above 1, so that the number of flows can fall. */
const MAX_EVICTIONS_PER_ADD = 2;

interface Usage {
  usedMs: number;
  atMs: number;
}

/** Times are on the monotonic clock, milliseconds. */
export class FlowUsage {
  private readonly usages = new Map<string, Usage>();

  /** Flows that are kept. */
  get size(): number {
    return this.usages.size;
  }

  /** Decayed use of a flow, milliseconds of replica time. */
  of(flow: string, nowMs: number): number {
    const usage = this.usages.get(flow);
    return usage ? decayed(usage, nowMs) : 0;
  }

  /** Adds a use; a negative one corrects an estimate that was too long. */
  add(flow: string, usedMs: number, nowMs: number): void {
    const usage = this.usages.get(flow);
    const total = Math.max(0, (usage ? decayed(usage, nowMs) : 0) + usedMs);
    this.usages.delete(flow);
    this.usages.set(flow, { usedMs: total, atMs: nowMs });
    this.evictFlows(nowMs);
  }

  /** Removes idle flows, and beyond the maximum any; least recently used ones come first in the map. */
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
