/**
 * Records which requests were running at replicas that crashed, and quarantines requests that repeatedly
 * were. Since a replica may crash for other reasons, every request that ran there is only a suspect, and an
 * answer clears it. Kept in memory with a bounded size; nodes exchange crash reports. Times are on the clock
 * of the store.
 *
 * Work of batch jobs is never quarantined. Its digests have a prefix, so that builds without this rule find no
 * crashes of it, while it remains a suspect beside other requests that ran at the same replica.
 */

/** A replica crashed while it ran a request. */
export interface Crash {
  /** Digest that identifies the request across retries (`request-digest.ts`). */
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

/**
 * Whether a request may be sent. The kinds are logged under the key `verdict`; `ends` is the number of
 * crashes.
 */
export type QuarantineVerdict =
  /** The request has no crash on record. */
  | { readonly kind: 'clear' }
  /** The request may run at one replica at a time. */
  | { readonly kind: 'suspected'; readonly ends: number }
  /** The request is quarantined for another `retryAfterMs`. */
  | { readonly kind: 'held'; readonly ends: number; readonly retryAfterMs: number };

/** Crashes after which a request gets the long quarantine. */
const LONG_QUARANTINE_CRASHES = 3;
/** Crashes after which a request gets the short quarantine if no other request ran at all of them. */
const SHORT_QUARANTINE_CRASHES = 2;
/**
 * Quarantine periods from the last crash, milliseconds. The short one exceeds the usual restart time of a
 * replica, and costs a wrong suspect little. The long one bounds the damage, and lets a request run again
 * whose cause was fixed.
 */
const SHORT_QUARANTINE_MS = 4_000;
const LONG_QUARANTINE_MS = 600_000;
/** Reports for one address within this period are one crash, milliseconds; a restart takes longer. */
const CRASH_MERGE_WINDOW_MS = 1_000;
/** Requests kept, about 800 bytes each with one crash; the oldest are evicted first. */
const MAX_REQUESTS = 5_000;

/** Age at which a crash expires, milliseconds. */
export const CRASH_EXPIRY_MS = LONG_QUARANTINE_MS;

const JOB_WORK_PREFIX = 'job-';

/** Digest under which the crashes of an item, or of its scoring call, are recorded. */
export function toJobWorkDigest(digest: string): string {
  return JOB_WORK_PREFIX + digest;
}

const CLEAR: QuarantineVerdict = { kind: 'clear' };

/** A crash and the digests of the requests that were running. */
interface ReplicaCrash {
  readonly endedAtMs: number;
  readonly digests: Set<string>;
}

export class CrashHistory {
  private readonly crashesByAddress = new Map<string, ReplicaCrash[]>();
  private readonly crashesByDigest = new Map<string, ReplicaCrash[]>();
  /** Time of the last answer by digest, the least recently updated first. */
  private readonly servedAtMs = new Map<string, number>();

  /** Number of suspects. */
  get size(): number {
    return this.crashesByDigest.size;
  }

  /** Records a crash. Returns false if it was already known, or if the request was answered later. */
  recordCrash({ digest, address, endedAtMs }: Crash): boolean {
    if (endedAtMs <= (this.servedAtMs.get(digest) ?? Number.NEGATIVE_INFINITY)) return false;
    const crash = this.crashAt(address, endedAtMs);
    if (crash.digests.has(digest)) return false;
    crash.digests.add(digest);
    this.crashesByDigest.set(digest, [...(this.crashesByDigest.get(digest) ?? []), crash]);
    if (this.size > MAX_REQUESTS) this.evictOldest();
    return true;
  }

  /** Records an answer, which clears earlier crashes. Returns false if there were none. */
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

  /** Whether the request was running at a crash and has not been answered since. */
  isSuspect(digest: string): boolean {
    return this.crashesByDigest.has(digest);
  }

  verdictOf(digest: string, nowMs: number): QuarantineVerdict {
    const crashes = this.crashesByDigest.get(digest);
    if (!crashes) return CLEAR;
    const count = crashes.length;
    if (digest.startsWith(JOB_WORK_PREFIX)) return { kind: 'suspected', ends: count };
    const lastMs = Math.max(...crashes.map(({ endedAtMs }) => endedAtMs));
    const retryAfterMs = lastMs + this.quarantineMs(digest, crashes) - nowMs;
    return retryAfterMs > 0
      ? { kind: 'held', ends: count, retryAfterMs }
      : { kind: 'suspected', ends: count };
  }

  /** Removes crashes and answers before `ms`. */
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

  /** Whether no other request was running at all of the crashes. */
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
