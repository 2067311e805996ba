/**
 * Estimates the offset of a remote clock from the times in its answers. The answer with the smallest delay has
 * the largest offset and is the best estimate. Only recent answers count, since two clocks drift apart.
 */
import { monotonicMs } from './clock.js';

/** Answers of this window and the one before it count, milliseconds. */
const WINDOW_MS = 60_000;

export class ClockOffset {
  private windowStartMs = Number.NEGATIVE_INFINITY;
  private currentMs: number | undefined;
  private previousMs: number | undefined;

  constructor(private readonly now: () => number = monotonicMs) {}

  /** Records the time of the remote clock in an answer that has just arrived, milliseconds. */
  record(remoteMs: number): void {
    const nowMs = this.now();
    if (nowMs - this.windowStartMs >= WINDOW_MS) {
      this.previousMs = this.currentMs;
      this.currentMs = undefined;
      this.windowStartMs = nowMs;
    }
    this.currentMs = Math.max(this.currentMs ?? Number.NEGATIVE_INFINITY, remoteMs - nowMs);
  }

  /** Remote time minus local monotonic time, milliseconds; `undefined` before the first answer. */
  get offsetMs(): number | undefined {
    if (this.currentMs === undefined) return this.previousMs;
    return Math.max(this.currentMs, this.previousMs ?? Number.NEGATIVE_INFINITY);
  }
}
