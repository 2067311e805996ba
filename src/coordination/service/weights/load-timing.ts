/** How long loads take, and when a loading replica is asked for a report. Times in milliseconds. */

/** Loads whose times are kept. Chosen, not measured: enough that one that met no contention is among them. */
const MAX_SAMPLES = 8;
/** Interval of reports while the usual time is unknown or long exceeded. Chosen, not measured. */
const SLOW_POLL_INTERVAL_MS = 350;
/** Share of the usual time before the first report, and the interval after it. Chosen, not measured. */
const FIRST_POLL_FRACTION = 0.9;
const FAST_POLL_INTERVAL_MS = 60;
/** Multiple of the usual time up to which the short interval applies. Chosen, not measured. */
const FAST_POLL_FACTOR = 2;

/** The times of recent loads. */
export class LoadDurations {
  private readonly recent: number[] = [];

  /** Notes how long a load took, as seen from outside. */
  record(durationMs: number): void {
    this.recent.push(durationMs);
    if (this.recent.length > MAX_SAMPLES) this.recent.shift();
  }

  /** Time that a load takes without contention; infinite while none was seen. */
  get uncontendedMs(): number {
    return Math.min(...this.recent, Number.POSITIVE_INFINITY);
  }
}

/** Time from a command to the first report. */
export function firstPollDelayMs(uncontendedMs: number): number {
  return Number.isFinite(uncontendedMs) ? uncontendedMs * FIRST_POLL_FRACTION : SLOW_POLL_INTERVAL_MS;
}

/** Time to the next report, `elapsedMs` after the command. */
export function nextPollDelayMs(uncontendedMs: number, elapsedMs: number): number {
  const isFastPolling = Number.isFinite(uncontendedMs) && elapsedMs < uncontendedMs * FAST_POLL_FACTOR;
  return isFastPolling ? FAST_POLL_INTERVAL_MS : SLOW_POLL_INTERVAL_MS;
}
