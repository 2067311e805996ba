/**
 * Crash history: which requests ran at replicas that crashed, and whether a request is quarantined. A replica
 * may crash for other reasons, so a crash makes every request that ran there a suspect; common suspects of
 * further crashes are quarantined. An answer clears a request, since popular ones run at many crashes.
 *
 * Owns one node's history, in memory and bounded; shared through crash reports. Store's clock.
 */

/** A replica ended while it ran a request. */
export interface Crash {
  /** Identity of the request (`request-digest.ts`). */
  readonly digest: string;
  /** `IP:PORT` of the replica. */
  readonly address: string;
  /** Milliseconds. */
  readonly endedAtMs: number;
}

/** A replica answered a request. */
export interface AnsweredRequest {
  readonly digest: string;
  /** Milliseconds. */
  readonly servedAtMs: number;
}

/** Whether a request may be sent. The kinds are values of the log key `verdict`; `ends` counts crashes. */
export type QuarantineVerdict =
  /** It ran at no crash. */
  | { readonly kind: 'clear' }
  /** It may run, at one replica at a time. */
  | { readonly kind: 'suspected'; readonly ends: number }
  /** It is quarantined for `retryAfterMs` milliseconds. */
  | { readonly kind: 'held'; readonly ends: number; readonly retryAfterMs: number };

/** Crashes after which a request is quarantined for long: the most that one request may cause. */
const LONG_QUARANTINE_CRASHES = 3;
/** Crashes after which it is quarantined for a short time if no other request ran at all of them. */
const SHORT_QUARANTINE_CRASHES = 2;
/**
 * Quarantine after the last crash, milliseconds. Chosen, not measured. The short one exceeds the restart of
 * replicas, some three seconds on the recorded day (docs/design/retries-hedges-and-quarantine.md), and costs a wrong suspect
 * little; the long one bounds the damage, and lets a request run again whose cause was fixed.
 */
const SHORT_QUARANTINE_MS = 4_000;
const LONG_QUARANTINE_MS = 600_000;
/** Crashes reported at one address within this time are one, milliseconds: a restart takes longer. */
const CRASH_MERGE_WINDOW_MS = 1_000;
/** Requests that are kept, the oldest dropped first; some 800 bytes each with one crash (heap of 5,000). */
const MAX_REQUESTS = 5_000;

/** Time after which a crash no longer counts, milliseconds. */
export const CRASH_EXPIRY_MS = LONG_QUARANTINE_MS;

const CLEAR: QuarantineVerdict = { kind: 'clear' };

/** A crash, and the requests that ran at it. */
interface ReplicaCrash {
  readonly endedAtMs: number;
  readonly digests: Set<string>;
}

export class CrashHistory {
  private readonly crashesByAddress = new Map<string, ReplicaCrash[]>();
  private readonly crashesByDigest = new Map<string, ReplicaCrash[]>();
  /** Times at which requests were answered last, by digest. */
  private readonly servedAtMs = new Map<string, number>();

  /** Requests that ran at a crash. */
  get size(): number {
    return this.crashesByDigest.size;
  }

  /** Notes a crash; false when it is known, or the request was answered since. */
  recordCrash({ digest, address, endedAtMs }: Crash): boolean {
    if (endedAtMs <= (this.servedAtMs.get(digest) ?? Number.NEGATIVE_INFINITY)) return false;
    const crash = this.crashAt(address, endedAtMs);
    if (crash.digests.has(digest)) return false;
    crash.digests.add(digest);
    this.crashesByDigest.set(digest, [...(this.crashesByDigest.get(digest) ?? []), crash]);
    if (this.size > MAX_REQUESTS) this.evictOldest();
    return true;
  }

  /** Notes an answer: earlier crashes no longer count. False when there were none. */
  recordAnswer({ digest, servedAtMs }: AnsweredRequest): boolean {
    const before = this.servedAtMs.get(digest) ?? Number.NEGATIVE_INFINITY;
    this.servedAtMs.delete(digest);
    this.servedAtMs.set(digest, Math.max(before, servedAtMs));
    const [oldest] = this.servedAtMs.keys();
    if (this.servedAtMs.size > MAX_REQUESTS && oldest !== undefined) this.servedAtMs.delete(oldest);
    const crashes = this.crashesByDigest.get(digest) ?? [];
    const later = crashes.filter(({ endedAtMs }) => endedAtMs > servedAtMs);
    for (const crash of crashes) if (crash.endedAtMs <= servedAtMs) crash.digests.delete(digest);
    if (later.length === 0) this.crashesByDigest.delete(digest);
    else this.crashesByDigest.set(digest, later);
    return later.length < crashes.length;
  }

  /** Whether the request ran at a crash and was not answered since. */
  isSuspect(digest: string): boolean {
    return this.crashesByDigest.has(digest);
  }

  /** Whether a request may be sent at `nowMs`. */
  verdictOf(digest: string, nowMs: number): QuarantineVerdict {
    const crashes = this.crashesByDigest.get(digest);
    if (!crashes) return CLEAR;
    const count = crashes.length;
    const lastMs = Math.max(...crashes.map(({ endedAtMs }) => endedAtMs));
    const retryAfterMs = lastMs + this.quarantineMs(digest, crashes) - nowMs;
    return retryAfterMs > 0
      ? { kind: 'held', ends: count, retryAfterMs }
      : { kind: 'suspected', ends: count };
  }

  /** Removes all crashes and answers before `ms`. */
  expireBefore(ms: number): void {
    removeBefore(this.crashesByDigest, ms);
    removeBefore(this.crashesByAddress, ms);
    for (const [digest, servedAtMs] of this.servedAtMs) if (servedAtMs < ms) this.servedAtMs.delete(digest);
  }

  private quarantineMs(digest: string, crashes: readonly ReplicaCrash[]): number {
    if (crashes.length >= LONG_QUARANTINE_CRASHES) return LONG_QUARANTINE_MS;
    const isQuarantined = crashes.length >= SHORT_QUARANTINE_CRASHES && this.isSoleSuspect(digest, crashes);
    return isQuarantined ? SHORT_QUARANTINE_MS : 0;
  }

  /** Whether no other request ran at all of the crashes. */
  private isSoleSuspect(digest: string, [first, ...others]: readonly ReplicaCrash[]): boolean {
    for (const other of first?.digests ?? [])
      if (other !== digest && others.every(({ digests }) => digests.has(other))) return false;
    return true;
  }

  private crashAt(address: string, endedAtMs: number): ReplicaCrash {
    const crashes = this.crashesByAddress.get(address) ?? [];
    const same = crashes.find((crash) => Math.abs(crash.endedAtMs - endedAtMs) < CRASH_MERGE_WINDOW_MS);
    if (same) return same;
    const crash: ReplicaCrash = { endedAtMs, digests: new Set() };
    this.crashesByAddress.set(address, [...crashes, crash]);
    return crash;
  }

  private evictOldest(): void {
    const [oldest] = this.crashesByDigest.keys();
    if (oldest === undefined) return;
    for (const crash of this.crashesByDigest.get(oldest) ?? []) crash.digests.delete(oldest);
    this.crashesByDigest.delete(oldest);
  }
}

function removeBefore(crashesByKey: Map<string, ReplicaCrash[]>, ms: number): void {
  for (const [key, crashes] of crashesByKey) {
    const kept = crashes.filter(({ endedAtMs }) => endedAtMs >= ms);
    if (kept.length === 0) crashesByKey.delete(key);
    else if (kept.length < crashes.length) crashesByKey.set(key, kept);
  }
}
