/**
 * Estimates the offset of a remote clock from the times in its answers, as bounds: the remote side read its
 * clock between the request and the answer. Only recent answers count, since two clocks drift apart.
 */
import { monotonicMs } from './clock.js';

/** Answers of this window and the one before it count, milliseconds. */
const WINDOW_MS = 60_000;

/** Remote time minus local monotonic time, milliseconds. */
export interface OffsetBounds {
  readonly leastMs: number;
  readonly mostMs: number;
}

export class ClockOffset {
  private windowStartMs = Number.NEGATIVE_INFINITY;
  private current: OffsetBounds | undefined;
  private previous: OffsetBounds | undefined;

  constructor(private readonly now: () => number = monotonicMs) {}

  /** Records the time of the remote clock in an answer that has just arrived to a request of `requestedAtMs`. */
  record(remoteMs: number, requestedAtMs: number): void {
    const nowMs = this.now();
    if (nowMs - this.windowStartMs >= WINDOW_MS) {
      this.previous = this.current;
      this.current = undefined;
      this.windowStartMs = nowMs;
    }
    const bounds = { leastMs: remoteMs - nowMs, mostMs: remoteMs - requestedAtMs };
    this.current = this.current ? intersection(this.current, bounds) : bounds;
  }

  /** `undefined` before the first answer. */
  get bounds(): OffsetBounds | undefined {
    if (this.current && this.previous) return intersection(this.current, this.previous);
    return this.current ?? this.previous;
  }
}

function intersection(one: OffsetBounds, other: OffsetBounds): OffsetBounds {
  return {
    leastMs: Math.max(one.leastMs, other.leastMs),
    mostMs: Math.min(one.mostMs, other.mostMs),
  };
}
