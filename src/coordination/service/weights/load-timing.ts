/** How long loads take, and when a loading replica is asked for a report. Times in milliseconds. */

/** Loads whose times are kept. Chosen, not measured: enough that one that met no contention is among them. */
const KEPT_LOADS = 8;
/** Interval of reports while the usual time is unknown or long exceeded. Chosen, not measured. */
const REPORT_INTERVAL_MS = 350;
/** Share of the usual time before the first report, and the interval after it. Chosen, not measured. */
const FIRST_REPORT_FRACTION = 0.9;
const NEXT_REPORT_MS = 60;
/** Multiple of the usual time up to which the short interval applies. Chosen, not measured. */
const FREQUENT_REPORTS_FACTOR = 2;

/** The times of recent loads. */
export class LoadTimes {
  private readonly recent: number[] = [];

  /** Notes how long a load took, as seen from outside. */
  note(tookMs: number): void {
    this.recent.push(tookMs);
    if (this.recent.length > KEPT_LOADS) this.recent.shift();
  }

  /** Time that a load takes without contention; infinite while none was seen. */
  get usualMs(): number {
    return Math.min(...this.recent, Number.POSITIVE_INFINITY);
  }
}

/** Time from a command to the first report. */
export function firstReportDelayMs(usualMs: number): number {
  return Number.isFinite(usualMs) ? usualMs * FIRST_REPORT_FRACTION : REPORT_INTERVAL_MS;
}

/** Time to the next report, `elapsedMs` after the command. */
export function nextReportDelayMs(usualMs: number, elapsedMs: number): number {
  const isUsual = Number.isFinite(usualMs) && elapsedMs < usualMs * FREQUENT_REPORTS_FACTOR;
  return isUsual ? NEXT_REPORT_MS : REPORT_INTERVAL_MS;
}
