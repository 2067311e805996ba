/**
 * What is known of requests under which replicas have ended, and what follows from it. A replica may end for
 * reasons of its own while it runs any request; so one end accuses every request that ran there, and it takes
 * further ends to tell the one that causes them from the others. An answer acquits: a request that many
 * callers repeat is under way at many ends that it has no part in, but is served all the while.
 */

/** A replica ended while it ran a request. */
export interface Crash {
  /** Says which request it was, whatever identifier it bore. */
  readonly digest: string;
  /** `IP:PORT` of the replica. */
  readonly address: string;
  /** On the store's clock, milliseconds. */
  readonly endedAtMs: number;
}

/** A replica has answered a request, so that it is not what ends them. */
export interface ServedRun {
  readonly digest: string;
  /** On the store's clock, milliseconds. */
  readonly servedAtMs: number;
}

/** What may be done with a request. */
export type Verdict =
  /** No replica has ended under it. */
  | { readonly kind: 'clear' }
  /** It may run, on one replica at a time. */
  | { readonly kind: 'suspected'; readonly ends: number }
  /** It may not run before `retryAfterMs` milliseconds have passed. */
  | { readonly kind: 'held'; readonly ends: number; readonly retryAfterMs: number };

/** Ends under one request after which it is held for long, whatever else ran there. */
const MAX_ENDS = 3;
/** Ends after which it is held for a short time if no other request was there each time. */
const SOLE_SUSPECT_ENDS = 2;
/**
 * How long a request is held, milliseconds. The short time lets replicas come back before another one is
 * risked, and costs a request that was accused wrongly one step at most; the long one bounds what a request
 * can end to one replica in ten minutes once it is known, and lets a request run again whose cause was
 * mended.
 */
const SHORT_HOLD_MS = 4_000;
const LONG_HOLD_MS = 600_000;
/**
 * Reports of ends at one address that are this close are of one end: a successor takes longer to start,
 * milliseconds.
 */
const SAME_END_MS = 1_000;
/** Requests that are remembered; some 800 bytes each with one end (heap of 5,000). */
const MAX_REMEMBERED = 5_000;

/** After this time a run is no longer held against its request, milliseconds. */
export const CRASH_EXPIRY_MS = LONG_HOLD_MS;

const CLEAR: Verdict = { kind: 'clear' };

/** The end of a replica, and the requests that it ran. */
interface ReplicaCrash {
  readonly endedAtMs: number;
  readonly digests: Set<string>;
}

/** All that one node knows. */
export class CrashHistory {
  private readonly crashesByAddress = new Map<string, ReplicaCrash[]>();
  private readonly crashesByDigest = new Map<string, ReplicaCrash[]>();
  /** When requests that were accused before were served last, milliseconds. */
  private readonly servedAtMs = new Map<string, number>();

  /** Requests that are remembered. */
  get size(): number {
    return this.crashesByDigest.size;
  }

  /** Takes a run; false when it was known, or the request was served since. */
  note({ digest, address, endedAtMs }: Crash): boolean {
    if (endedAtMs <= (this.servedAtMs.get(digest) ?? Number.NEGATIVE_INFINITY)) return false;
    const end = this.crashAt(address, endedAtMs);
    if (end.digests.has(digest)) return false;
    end.digests.add(digest);
    this.crashesByDigest.set(digest, [...(this.crashesByDigest.get(digest) ?? []), end]);
    if (this.size > MAX_REMEMBERED) this.forgetOldest();
    return true;
  }

  /** Takes an answer: what is known of the request up to then is forgotten. False when nothing was. */
  noteServed({ digest, servedAtMs }: ServedRun): boolean {
    const before = this.servedAtMs.get(digest) ?? Number.NEGATIVE_INFINITY;
    this.servedAtMs.delete(digest);
    this.servedAtMs.set(digest, Math.max(before, servedAtMs));
    const [oldest] = this.servedAtMs.keys();
    if (this.servedAtMs.size > MAX_REMEMBERED && oldest !== undefined) this.servedAtMs.delete(oldest);
    const ends = this.crashesByDigest.get(digest) ?? [];
    const later = ends.filter(({ endedAtMs }) => endedAtMs > servedAtMs);
    for (const end of ends) if (end.endedAtMs <= servedAtMs) end.digests.delete(digest);
    if (later.length === 0) this.crashesByDigest.delete(digest);
    else this.crashesByDigest.set(digest, later);
    return later.length < ends.length;
  }

  /** Whether a replica has ended under the request, and it was not served since. */
  isAccused(digest: string): boolean {
    return this.crashesByDigest.has(digest);
  }

  /** What may be done with a request at `nowMs` on the store's clock. */
  judge(digest: string, nowMs: number): Verdict {
    const ends = this.crashesByDigest.get(digest);
    if (!ends) return CLEAR;
    const count = ends.length;
    const lastMs = Math.max(...ends.map(({ endedAtMs }) => endedAtMs));
    const retryAfterMs = lastMs + this.quarantineMs(digest, ends) - nowMs;
    return retryAfterMs > 0
      ? { kind: 'held', ends: count, retryAfterMs }
      : { kind: 'suspected', ends: count };
  }

  /** Forgets all runs before `ms` on the store's clock. */
  forgetBefore(ms: number): void {
    for (const [digest, ends] of this.crashesByDigest) {
      const kept = ends.filter(({ endedAtMs }) => endedAtMs >= ms);
      if (kept.length === 0) this.crashesByDigest.delete(digest);
      else if (kept.length < ends.length) this.crashesByDigest.set(digest, kept);
    }
    for (const [digest, servedAtMs] of this.servedAtMs) if (servedAtMs < ms) this.servedAtMs.delete(digest);
    for (const [address, ends] of this.crashesByAddress) {
      const kept = ends.filter(({ endedAtMs }) => endedAtMs >= ms);
      if (kept.length === 0) this.crashesByAddress.delete(address);
      else this.crashesByAddress.set(address, kept);
    }
  }

  private quarantineMs(digest: string, ends: readonly ReplicaCrash[]): number {
    if (ends.length >= MAX_ENDS) return LONG_HOLD_MS;
    return ends.length >= SOLE_SUSPECT_ENDS && this.isSoleSuspect(digest, ends) ? SHORT_HOLD_MS : 0;
  }

  /** Whether no other request ran at each of the ends. */
  private isSoleSuspect(digest: string, [first, ...others]: readonly ReplicaCrash[]): boolean {
    for (const other of first?.digests ?? [])
      if (other !== digest && others.every(({ digests }) => digests.has(other))) return false;
    return true;
  }

  private crashAt(address: string, endedAtMs: number): ReplicaCrash {
    const ends = this.crashesByAddress.get(address) ?? [];
    const same = ends.find((end) => Math.abs(end.endedAtMs - endedAtMs) < SAME_END_MS);
    if (same) return same;
    const end: ReplicaCrash = { endedAtMs, digests: new Set() };
    this.crashesByAddress.set(address, [...ends, end]);
    return end;
  }

  private forgetOldest(): void {
    const [oldest] = this.crashesByDigest.keys();
    if (oldest === undefined) return;
    for (const end of this.crashesByDigest.get(oldest) ?? []) end.digests.delete(oldest);
    this.crashesByDigest.delete(oldest);
  }
}
