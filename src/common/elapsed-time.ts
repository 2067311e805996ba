/**
 * Elapsed time on a machine that may be suspended. The monotonic clock stops during a suspension; the wall
 * clock does not, but may be set. A lease uses the longer of the two times, and counts as expired when the
 * wall clock was set back: a clock step can end a lease early, but never extends it.
 */
import { monotonicMs } from './clock.js';

/** Clocks, in milliseconds. */
export interface TimeSources {
  /** Stops while the machine is suspended. */
  readonly monotonicMs: () => number;
  /** Wall clock; may be set forward or back. */
  readonly timeOfDayMs: () => number;
}

export const SYSTEM_TIME: TimeSources = { monotonicMs, timeOfDayMs: Date.now };

/** Allows for slewing and the resolution of the wall clock. */
const CLOCK_TOLERANCE_MS = 50;

/** Returns a function for the milliseconds since now; infinite if the wall clock was set back. */
export function startStopwatch(sources: TimeSources = SYSTEM_TIME): () => number {
  const startMonotonicMs = sources.monotonicMs();
  const startWallClockMs = sources.timeOfDayMs();
  return () => {
    const elapsedMs = sources.monotonicMs() - startMonotonicMs;
    const wallClockElapsedMs = sources.timeOfDayMs() - startWallClockMs;
    return wallClockElapsedMs < elapsedMs - CLOCK_TOLERANCE_MS
      ? Number.POSITIVE_INFINITY
      : Math.max(elapsedMs, wallClockElapsedMs);
  };
}
