/** A clock that only the test advances. */
import { setImmediate } from 'node:timers/promises';
import type { Clock } from '../../src/common/clock.js';

interface Sleeper {
  readonly wakesAtMs: number;
  readonly wake: () => void;
}

/** Time that a test moves on; sleepers wake in the order of their times. */
export class ManualClock implements Clock {
  private nowMs = 0;
  private sleepers: Sleeper[] = [];

  constructor(readonly random: () => number) {}

  now(): number {
    return this.nowMs;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const wake = () => {
        signal?.removeEventListener('abort', wake);
        this.sleepers = this.sleepers.filter((other) => other !== sleeper);
        resolve();
      };
      const sleeper = { wakesAtMs: this.nowMs + ms, wake };
      this.sleepers.push(sleeper);
      signal?.addEventListener('abort', wake, { once: true });
    });
  }

  /** Moves time on by `ms` milliseconds; everyone who wakes meanwhile does its work at its own time. */
  async advance(ms: number): Promise<void> {
    const untilMs = this.nowMs + ms;
    await setImmediate();
    for (;;) {
      const next = this.sleepers.reduce<Sleeper | undefined>(
        (first, sleeper) => (first && first.wakesAtMs <= sleeper.wakesAtMs ? first : sleeper),
        undefined,
      );
      if (!next || next.wakesAtMs > untilMs) break;
      this.nowMs = next.wakesAtMs;
      next.wake();
      await setImmediate();
    }
    this.nowMs = untilMs;
  }
}
