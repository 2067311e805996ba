/**
 * Latency of a replica relative to the average service time: a geometric moving average, which is robust
 * against single slow requests and decays towards 1 without measurements. Times are monotonic, in
 * milliseconds.
 */

/** Half-life of the decay, milliseconds; a slow replica is tried again some seconds later. */
const HALF_LIFE_MS = 3_000;
/** Weight of the newest request; about ten requests determine the ratio. */
const SMOOTHING_FACTOR = 0.15;
/** Smallest ratio recorded, which limits the effect of a very short request. */
const MIN_RATIO = 0.05;
/** Ratio above which a replica counts as slow. */
export const SLOW_LATENCY_RATIO = 2;
const SLOW_LOG_RATIO = Math.log(SLOW_LATENCY_RATIO);

export class LatencyEstimate {
  private logRatio = 0;
  private measuredAtMs = 0;

  /** Records a request that took `ratio` times its expected service time. */
  record(ratio: number, nowMs: number): void {
    this.logRatio += (Math.log(Math.max(ratio, MIN_RATIO)) - this.logRatio) * SMOOTHING_FACTOR;
    this.measuredAtMs = nowMs;
  }

  ratio(nowMs: number): number {
    const decayed = 1 - 2 ** (-(nowMs - this.measuredAtMs) / HALF_LIFE_MS);
    return Math.exp(this.logRatio * (1 - decayed));
  }

  /** Whether the replica was slow and has no measurement within the last half-life. */
  isStale(nowMs: number): boolean {
    return this.logRatio > SLOW_LOG_RATIO && nowMs - this.measuredAtMs > HALF_LIFE_MS;
  }
}
