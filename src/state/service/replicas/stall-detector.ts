/**
 * Detects a stalled replica, one that has requests but has not answered any for several times the longest
 * expected service time. This shows a slow or paused replica before its requests end. Times are monotonic, in
 * milliseconds.
 */

/** Ratio up to which a replica does not count as stalled, since single requests may take that long. */
const MIN_STALL_RATIO = 4;

export class StallDetector {
  /** Longest expected service time since the replica was last idle, milliseconds; 0 if unknown. */
  private longestExpectedMs = 0;
  /** Time of the last answer, or of the first request since the replica was idle. */
  private sinceMs = 0;

  /** Records the start of an attempt. `isFirst` is true if the replica had no request of this node. */
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

  /** Time without an answer relative to the longest expected service time; 0 if not stalled. */
  ratio(nowMs: number): number {
    if (this.longestExpectedMs === 0) return 0;
    const ratio = (nowMs - this.sinceMs) / this.longestExpectedMs;
    return ratio > MIN_STALL_RATIO ? ratio : 0;
  }
}
