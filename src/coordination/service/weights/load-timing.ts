/** Durations of loads, and the resulting schedule for polling a loading replica. */

/** Enough to include a load without contention. */
const MAX_SAMPLES = 8;
/** Used while the expected duration is unknown or far exceeded. */
const SLOW_POLL_INTERVAL_MS = 350;
/** Fraction of the expected duration before the first poll. */
const FIRST_POLL_FRACTION = 0.9;
const FAST_POLL_INTERVAL_MS = 60;
/** Multiple of the expected duration up to which the fast interval applies. */
const FAST_POLL_FACTOR = 2;

/** Durations of recent loads. */
export class LoadDurations {
  private readonly recent: number[] = [];

  record(durationMs: number): void {
    this.recent.push(durationMs);
    if (this.recent.length > MAX_SAMPLES) this.recent.shift();
  }

  /** Duration of a load without contention; infinite if unknown. */
  get uncontendedMs(): number {
    return Math.min(...this.recent, Number.POSITIVE_INFINITY);
  }
}

/** Delay from the command to the first poll. */
export function firstPollDelayMs(uncontendedMs: number): number {
  return Number.isFinite(uncontendedMs) ? uncontendedMs * FIRST_POLL_FRACTION : SLOW_POLL_INTERVAL_MS;
}

/** Delay to the next poll, `elapsedMs` after the command. */
export function nextPollDelayMs(uncontendedMs: number, elapsedMs: number): number {
  const isFastPolling = Number.isFinite(uncontendedMs) && elapsedMs < uncontendedMs * FAST_POLL_FACTOR;
  return isFastPolling ? FAST_POLL_INTERVAL_MS : SLOW_POLL_INTERVAL_MS;
}
