/** Synchronization of asynchronous tasks within a process. */
import { type Clock, SYSTEM_CLOCK } from './clock.js';

/** Tasks wait until another task notifies them that their condition may hold. */
export class ConditionVariable {
  private readonly waiters = new Set<() => void>();

  /** Resolves at the next `notifyAll`, or when `signal` is aborted. Never rejects. */
  wait(signal: AbortSignal): Promise<void> {
    if (signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const wake = () => {
        this.waiters.delete(wake);
        signal.removeEventListener('abort', wake);
        resolve();
      };
      this.waiters.add(wake);
      signal.addEventListener('abort', wake, { once: true });
    });
  }

  /** Like `wait`, with a timeout of `ms` milliseconds. */
  async waitWithTimeout(ms: number, signal: AbortSignal, clock: Clock = SYSTEM_CLOCK): Promise<void> {
    const controller = new AbortController();
    const abort = () => controller.abort();
    if (signal.aborted) return;
    signal.addEventListener('abort', abort, { once: true });
    await Promise.race([clock.sleep(ms, controller.signal), this.wait(controller.signal)]);
    signal.removeEventListener('abort', abort);
    controller.abort();
  }

  notifyAll(): void {
    for (const wake of [...this.waiters]) wake();
  }
}
