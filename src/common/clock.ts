/**
 * Time helpers. Durations and ages use the monotonic clock, because wall clocks of different machines
 * disagree; wall time is only for records that people read.
 */

export const MILLISECONDS_PER_SECOND = 1_000;

/** Monotonic time, milliseconds; not comparable between processes. */
export function monotonicMs(): number {
  return performance.now();
}

/** Wall-clock time as an ISO 8601 string, for records and logs. */
export function wallTime(): string {
  return new Date().toISOString();
}

/** Longest delay of a timer, milliseconds: Node fires one with a longer delay at once. */
export const MAX_TIMER_MS = 2_147_483_647;

/** Resolves after `ms` milliseconds, or at once when `signal` is aborted. Never rejects. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, Math.min(ms, MAX_TIMER_MS));
    signal?.addEventListener('abort', finish, { once: true });
  });
}

/** Time and randomness of a task; replaced in tests to make them fast and repeatable. */
export interface Clock {
  /** Monotonic time, milliseconds. */
  now(): number;
  /** Resolves after `ms` milliseconds, or at once when `signal` is aborted. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /** A uniform number in `[0, 1)`. */
  random(): number;
}

export const SYSTEM_CLOCK: Clock = { now: monotonicMs, sleep, random: Math.random };
