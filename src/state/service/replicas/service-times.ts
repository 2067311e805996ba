/**
 * Usual service time of each kind of request at the replicas of a service, as one node measures it. Kinds
 * differ much in length, so a replica's speed shows only against the usual time of what it was sent.
 *
 * The usual time is that of all replicas as they are used, slow ones too. Divided by each one's latency ratio
 * it would feed on itself: replicas would look faster, and it would grow.
 */

/** Weight of the newest request in the mean of the logarithm. Chosen, not measured. */
const SMOOTHING_FACTOR = 0.1;
/** Kinds that are kept; beyond, all are measured anew. Chosen: far more than routes. */
const MAX_KINDS = 1_000;
/** Usual time of an unmeasured kind, milliseconds; counts like one request. Chosen, not measured. */
const DEFAULT_SERVICE_TIME_MS = 50;
/** Shortest time that is noted, milliseconds: bounds the logarithm. */
const MIN_RECORDED_MS = 0.1;

interface KindTime {
  /** Mean of the logarithm of the times, and number of requests. */
  log: number;
  count: number;
}

export class ServiceTimes {
  private readonly kinds = new Map<string, KindTime>();

  /** Usual time of a kind, milliseconds. */
  expectedMs(kind: string): number {
    const known = this.kinds.get(kind);
    return known ? Math.exp(known.log) : DEFAULT_SERVICE_TIME_MS;
  }

  /** Notes the time of a request. Returns its ratio to the usual time; 1 for the first of its kind. */
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
