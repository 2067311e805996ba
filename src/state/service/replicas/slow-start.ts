/** Limit of the requests that this node sends to a replica in slow start. Monotonic clock. */
import { MILLISECONDS_PER_SECOND } from '../../../common/clock.js';

export class SlowStart {
  private untilMs = 0;
  /** Times of the requests that were sent in slow start, the oldest first. */
  private readonly sentAtMs: number[] = [];

  /** The replica is in slow start for `forMs` milliseconds from now. */
  begin(forMs: number, nowMs: number): void {
    this.untilMs = nowMs + forMs;
  }

  recordSent(nowMs: number): void {
    if (nowMs < this.untilMs) this.sentAtMs.push(nowMs);
  }

  /** Whether one more request keeps the limit; below one a second, one in the time that each may take. */
  allows(maxPerSecond: number, nowMs: number): boolean {
    if (nowMs >= this.untilMs) return true;
    const sinceMs = nowMs - MILLISECONDS_PER_SECOND * Math.max(1, 1 / maxPerSecond);
    while (this.sentAtMs.length > 0 && (this.sentAtMs[0] ?? 0) <= sinceMs) this.sentAtMs.shift();
    return this.sentAtMs.length < Math.max(1, Math.floor(maxPerSecond));
  }
}
