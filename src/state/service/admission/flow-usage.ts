/**
 * How much of the replicas' time each party (a tenant, or a caller where there are none) has lately used. It answers loads in which
 * one party asks for many times as much as the others: whoever has used least goes first, so that its demand cannot displace
 * theirs, and what the others leave is lent to it at once.
 */

/** After this time half of a use is forgotten, milliseconds: a queue that callers still wait in drains in less. */
const HALF_LIFE_MS = 1_000;
/** Parties that are remembered: as many as the tenants of a large configuration. */
const MAX_FLOWS = 100_000;
/** A use below this is forgotten, milliseconds of a replica's time. */
const NEGLIGIBLE_MS = 1;
/** Forgetting looks at so many parties at each new one, so that its cost is spread. */
const FORGET_STEP = 2;

interface Use {
  usedMs: number;
  atMs: number;
}

/** Uses of the parties, as seen by one node. Times are on the monotonic clock. */
export class FlowUsage {
  private readonly uses = new Map<string, Use>();

  /** Parties that are remembered. */
  get size(): number {
    return this.uses.size;
  }

  /** What a party has lately used, milliseconds, over its `weight`. */
  of(flow: string, nowMs: number, weight = 1): number {
    const use = this.uses.get(flow);
    return use ? decayed(use, nowMs) / weight : 0;
  }

  /** Adds to what a party has used; a negative time takes back what was added too much. */
  add(flow: string, usedMs: number, nowMs: number): void {
    const use = this.uses.get(flow);
    const total = Math.max(0, (use ? decayed(use, nowMs) : 0) + usedMs);
    this.uses.delete(flow);
    this.uses.set(flow, { usedMs: total, atMs: nowMs });
    this.forgetIdle(nowMs);
  }

  /** The parties that were longest without a use stand first. */
  private forgetIdle(nowMs: number): void {
    let looked = 0;
    for (const [flow, use] of this.uses) {
      const isIdle = decayed(use, nowMs) < NEGLIGIBLE_MS;
      if (!isIdle && this.uses.size <= MAX_FLOWS) return;
      this.uses.delete(flow);
      looked += 1;
      if (looked >= FORGET_STEP) return;
    }
  }
}

function decayed({ usedMs, atMs }: Use, nowMs: number): number {
  return usedMs * 2 ** (-Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
}
