/**
 * Time that has passed while the machine may have been suspended. The monotonic clock stands still then; the time of day goes
 * on, but it may be set at any moment, forward or back. A right that ends with time takes the longer of the two, and none at
 * all once they disagree in a way that only a clock set back explains: a step of the clock costs a proof, never a right that is
 * kept too long.
 */
import { monotonicMs } from './clock.js';

/** Clocks of a machine, milliseconds. */
export interface TimeSources {
  /** Stands still while the machine is suspended. */
  readonly monotonicMs: () => number;
  /** May be set forward or back. */
  readonly timeOfDayMs: () => number;
}

/** The clocks of this machine. */
export const SYSTEM_TIME: TimeSources = { monotonicMs, timeOfDayMs: Date.now };

/** Disagreement that a slewed time of day and its whole milliseconds account for, milliseconds. */
const TOLERANCE_MS = 50;

/** Starts to measure; the function returned tells the time since, milliseconds, infinite when it is in doubt. */
export function startElapsed(sources: TimeSources = SYSTEM_TIME): () => number {
  const startedMs = sources.monotonicMs();
  const startedAtMs = sources.timeOfDayMs();
  return () => {
    const elapsedMs = sources.monotonicMs() - startedMs;
    const shownMs = sources.timeOfDayMs() - startedAtMs;
    return shownMs < elapsedMs - TOLERANCE_MS ? Number.POSITIVE_INFINITY : Math.max(elapsedMs, shownMs);
  };
}
