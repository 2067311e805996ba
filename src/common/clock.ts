/**
 * Time helpers. Durations and ages are always measured on the monotonic clock, because wall clocks
 * of different machines disagree; wall time is used only in records that people read.
 */

export const MILLISECONDS_PER_SECOND = 1_000;

/** Milliseconds on this process's monotonic clock. The origin has no meaning across processes. */
export function monotonicMs(): number {
  return performance.now();
}

/** Wall-clock time as an ISO 8601 string, for records and logs. */
export function wallTime(): string {
  return new Date().toISOString();
}

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
    const timer = setTimeout(finish, ms);
    signal?.addEventListener('abort', finish, { once: true });
  });
}

/** Time and randomness of a task; tests bring their own, so that a run takes no time and is repeatable. */
export interface Clock {
  /** Monotonic time, milliseconds. */
  now(): number;
  /** Resolves after `ms` milliseconds, or at once when `signal` is aborted. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
  /** A number from 0 up to 1. */
  random(): number;
}

/** The clock of this process. */
export const SYSTEM_CLOCK: Clock = { now: monotonicMs, sleep, random: Math.random };
