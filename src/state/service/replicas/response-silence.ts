/**
 * A replica that has requests and has answered none for long, compared with the longest expected time among
 * them. Shows a slow or paused replica before a request ends. Times are on the monotonic clock.
 */

/** Ratio up to which silence is no sign: single requests take that long. Chosen, not measured. */
const MIN_STALL_RATIO = 4;

export class StallDetector {
  /** Longest expected service time since the replica was last idle, milliseconds; 0 where it is not known. */
  private longestExpectedMs = 0;
  /** Time of the last answer, or of the first request after idleness. */
  private sinceMs = 0;

  /** Notes that a request is sent; `isFirst` when the replica had none of this node. */
  recordAttemptStart(expectedMs: number, isFirst: boolean, nowMs: number): void {
    if (isFirst) {
      this.sinceMs = nowMs;
      this.longestExpectedMs = 0;
    }
    this.longestExpectedMs = Math.max(this.longestExpectedMs, expectedMs);
  }

  recordAnswer(nowMs: number): void {
    this.sinceMs = nowMs;
  }

  /** Silence over the longest expected time, 0 where it is no sign, of a replica that has requests. */
  ratio(nowMs: number): number {
    if (this.longestExpectedMs === 0) return 0;
    const ratio = (nowMs - this.sinceMs) / this.longestExpectedMs;
    return ratio > MIN_STALL_RATIO ? ratio : 0;
  }
}
