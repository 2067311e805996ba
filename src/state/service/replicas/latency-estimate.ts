/**
 * How many times the usual time requests take at one replica: a moving average of the logarithm, so that a
 * few long ones count little, which fades towards 1 without measurements. Monotonic clock.
 */

/** Half-life, milliseconds: a slow replica is tried again some seconds later. Chosen, not measured. */
const HALF_LIFE_MS = 3_000;
/** Weight of the newest request. Chosen, not measured: some ten requests make a figure. */
const SMOOTHING_FACTOR = 0.15;
/** Least ratio of one request, which bounds what a very short one counts. Chosen, not measured. */
const MIN_RATIO = 0.05;
/** Ratio beyond which a replica is slow, as in the choice of a replica. */
export const SLOW_LATENCY_RATIO = 2;
const SLOW_LOG_RATIO = Math.log(SLOW_LATENCY_RATIO);

export class LatencyEstimate {
  private logRatio = 0;
  private measuredAtMs = 0;

  /** Notes that a request took `ratio` times its usual time. */
  record(ratio: number, nowMs: number): void {
    this.logRatio += (Math.log(Math.max(ratio, MIN_RATIO)) - this.logRatio) * SMOOTHING_FACTOR;
    this.measuredAtMs = nowMs;
  }

  ratio(nowMs: number): number {
    const faded = 1 - 2 ** (-(nowMs - this.measuredAtMs) / HALF_LIFE_MS);
    return Math.exp(this.logRatio * (1 - faded));
  }

  /** Whether the replica was slow and was not measured for a half-life. */
  isStale(nowMs: number): boolean {
    return this.logRatio > SLOW_LOG_RATIO && nowMs - this.measuredAtMs > HALF_LIFE_MS;
  }
}
