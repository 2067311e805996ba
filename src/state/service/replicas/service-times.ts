/**
 * Average service time per kind of request over all replicas of a service, as measured by this node. Kinds
 * differ widely in length, so the speed of a replica is judged relative to the average of each kind.
 *
 * Times are not normalised by the latency ratio of their replica: the ratio is derived from the average, and
 * the feedback would inflate the average.
 */

/** Weight of the newest request in the mean logarithm. */
const SMOOTHING_FACTOR = 0.1;
/** Kinds kept, far more than there are routes; beyond this all measurements are discarded. */
const MAX_KINDS = 1_000;
/** Initial estimate for a kind without measurements, milliseconds; weighs as much as one request. */
const DEFAULT_SERVICE_TIME_MS = 50;
/** Shortest time recorded, milliseconds; bounds the logarithm. */
const MIN_RECORDED_MS = 0.1;

interface KindTime {
  /** Mean logarithm of the service times in milliseconds. */
  log: number;
  count: number;
}

export class ServiceTimes {
  private readonly kinds = new Map<string, KindTime>();

  /** Average service time of a kind, milliseconds. */
  expectedMs(kind: string): number {
    const known = this.kinds.get(kind);
    return known ? Math.exp(known.log) : DEFAULT_SERVICE_TIME_MS;
  }

  /** Records the service time of a request. Returns its ratio to the average, 1 for the first of its kind. */
  record(kind: string, tookMs: number): number {
    const log = Math.log(Math.max(tookMs, MIN_RECORDED_MS));
    const known = this.kindOf(kind);
    const ratio = known.count === 1 ? 1 : Math.exp(log - known.log);
    known.count += 1;
    known.log += (log - known.log) * Math.max(SMOOTHING_FACTOR, 1 / known.count);
    return ratio;
  }

  private kindOf(kind: string): KindTime {
    const known = this.kinds.get(kind);
    if (known) return known;
    if (this.kinds.size >= MAX_KINDS) this.kinds.clear();
    const created = { log: Math.log(DEFAULT_SERVICE_TIME_MS), count: 1 };
    this.kinds.set(kind, created);
    return created;
  }
}
