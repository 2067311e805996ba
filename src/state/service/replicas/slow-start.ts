/** Limits the rate of requests that this node sends to a replica in slow start. Times are monotonic. */
import { MILLISECONDS_PER_SECOND } from '../../../common/clock.js';

export class SlowStart {
  private untilMs = 0;
  /** Times of requests sent during slow start, the oldest first. */
  private readonly sentAtMs: number[] = [];

  /** Starts slow start for `forMs` milliseconds. */
  begin(forMs: number, nowMs: number): void {
    this.untilMs = nowMs + forMs;
  }

  recordSent(nowMs: number): void {
    if (nowMs < this.untilMs) this.sentAtMs.push(nowMs);
  }

  /** Whether one more request stays within the limit. Below 1 per second, allows one request per period. */
  allows(maxPerSecond: number, nowMs: number): boolean {
    if (nowMs >= this.untilMs) return true;
    const sinceMs = nowMs - MILLISECONDS_PER_SECOND * Math.max(1, 1 / maxPerSecond);
    while (this.sentAtMs.length > 0 && (this.sentAtMs[0] ?? 0) <= sinceMs) this.sentAtMs.shift();
    return this.sentAtMs.length < Math.max(1, Math.floor(maxPerSecond));
  }
}
