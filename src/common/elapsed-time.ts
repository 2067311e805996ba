/**
 * Elapsed time on a machine that may have been suspended. The monotonic clock stops during a suspension; the
 * time of day goes on, but may be set forward or back. A lease takes the longer of the two, and counts as
 * expired when they disagree in a way that only a time of day set back explains: a clock step costs a lease,
 * but never extends one.
 */
import { monotonicMs } from './clock.js';

/** Clocks of a machine, milliseconds. */
export interface TimeSources {
  /** Stops while the machine is suspended. */
  readonly monotonicMs: () => number;
  /** May be set forward or back. */
  readonly timeOfDayMs: () => number;
}

/** The clocks of this machine. */
export const SYSTEM_TIME: TimeSources = { monotonicMs, timeOfDayMs: Date.now };

/** Disagreement due to a slewed time of day and its resolution, milliseconds. Chosen, not measured. */
const CLOCK_TOLERANCE_MS = 50;

/** Returns a function for the milliseconds since now; infinite when the clocks contradict each other. */
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
