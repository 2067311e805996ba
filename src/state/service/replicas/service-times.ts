/**
 * How long requests of each kind usually take at the replicas of a service. Replicas serve kinds of very different length, so how slow a
 * replica is shows only against the usual time of what it was given.
 *
 * The usual time is that of all replicas as they were used, slow ones too. Divided by each one's slowness it would feed on itself:
 * a longer usual time makes replicas look faster, and that the usual time longer.
 */

/** Weight of the newest request: some ten of them make a figure. Means are of the logarithm: a few long ones say little. */
const WEIGHT = 0.1;
/** Kinds that are remembered. */
const MAX_KINDS = 1_000;
/** Usual time of a kind before it was measured, milliseconds; counts like one request. */
const UNMEASURED_MS = 50;
const LEAST_MS = 0.1;

/** What is known of one kind. */
interface KindTime {
  log: number;
  count: number;
}

/** The usual times at one node. */
export class ServiceTimes {
  private readonly kinds = new Map<string, KindTime>();

  /** Usual time of a kind, milliseconds. */
  expectedMs(kind: string): number {
    const known = this.kinds.get(kind);
    return known ? Math.exp(known.log) : UNMEASURED_MS;
  }

  /** Takes the time of a request. Returns how many times the usual it took; 1 for the first of its kind. */
  note(kind: string, tookMs: number): number {
    const log = Math.log(Math.max(tookMs, LEAST_MS));
    const known = this.kindOf(kind);
    const times = known.count === 1 ? 1 : Math.exp(log - known.log);
    known.count += 1;
    known.log += (log - known.log) * Math.max(WEIGHT, 1 / known.count);
    return times;
  }

  private kindOf(kind: string): KindTime {
    const known = this.kinds.get(kind);
    if (known) return known;
    if (this.kinds.size >= MAX_KINDS) this.kinds.clear();
    const created = { log: Math.log(UNMEASURED_MS), count: 1 };
    this.kinds.set(kind, created);
    return created;
  }
}
