/**
 * Stores the counts of this process soon after each change, at a rate limited across all nodes, and once more
 * after the end of a window, which closes it: a node adds nothing to a closed window, so its report need not
 * wait for that node. Failed writes are retried.
 */
import { type Clock, SYSTEM_CLOCK } from '../../../common/clock.js';
import type { UsageRepository, UsageSource } from '../../../state/service/usage/index.js';
import type { UsageCounter } from './usage-counter.js';
import type { UsageWindows } from './usage-window.js';

/**
 * Interval between writes of a node, per node of the fleet: limits all nodes together to 200 writes per
 * second.
 */
const WRITE_SPACING_PER_NODE_MS = 5;
/** Delay after the end of a window until it is closed, when all its requests are counted. */
const CLOSE_DELAY_MS = 150;
/** Past windows that a new process closes on behalf of its predecessor on this node. */
const CLOSED_AT_STARTUP = 2;
/** Windows after which no reporter requests the counts. */
const RETAINED_WINDOWS = 12;

/** State of a window in the store. */
interface WrittenWindow {
  version: number;
  /** Change counter of the snapshot that was written. */
  changes: number;
  isClosed: boolean;
}

const UNWRITTEN: WrittenWindow = { version: 0, changes: 0, isClosed: false };

export class UsageWriter {
  private readonly written = new Map<number, WrittenWindow>();
  private lastClosedWindow: number;
  private lastWriteAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly repository: UsageRepository,
    private readonly source: UsageSource,
    private readonly counter: UsageCounter,
    private readonly windows: UsageWindows,
    private readonly fleetSize: () => number,
    private readonly clock: Clock = SYSTEM_CLOCK,
  ) {
    this.lastClosedWindow = windows.current - CLOSED_AT_STARTUP - 1;
  }

  /** Runs until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const window = this.nextWindow();
      if (window === undefined) await this.waitForChange(signal);
      else await this.writeRateLimited(window, signal);
    }
  }

  /** Stores all pending counts without rate limit; returns early when `signal` is aborted. */
  async flush(signal: AbortSignal): Promise<void> {
    for (let window = this.changedWindow(); window !== undefined; window = this.changedWindow()) {
      if (signal.aborted) return;
      await this.write(window, signal);
    }
  }

  private get writeSpacingMs(): number {
    return this.fleetSize() * WRITE_SPACING_PER_NODE_MS;
  }

  /** The next window to write: one with changed counts, or one to close. */
  private nextWindow(): number | undefined {
    const changed = this.changedWindow();
    if (changed !== undefined) return changed;
    const next = this.lastClosedWindow + 1;
    return this.hasEnded(next) ? next : undefined;
  }

  private changedWindow(): number | undefined {
    return this.counter.countedWindows.find(
      (window) => this.counter.snapshot(window).changes !== (this.written.get(window) ?? UNWRITTEN).changes,
    );
  }

  private hasEnded(window: number): boolean {
    return this.windows.sinceEndMs(window) >= CLOSE_DELAY_MS;
  }

  private async waitForChange(signal: AbortSignal): Promise<void> {
    const untilCloseMs = CLOSE_DELAY_MS - this.windows.sinceEndMs(this.lastClosedWindow + 1);
    const jitterMs = this.clock.random() * this.writeSpacingMs;
    await this.counter.changed.waitWithTimeout(Math.max(1, untilCloseMs) + jitterMs, signal, this.clock);
  }

  private async writeRateLimited(window: number, signal: AbortSignal): Promise<void> {
    const pauseMs = this.lastWriteAtMs + this.writeSpacingMs - this.clock.now();
    if (pauseMs > 0) await this.clock.sleep(pauseMs, signal);
    if (!signal.aborted) await this.write(window, signal);
  }

  private async write(window: number, signal: AbortSignal): Promise<void> {
    const before = this.written.get(window) ?? UNWRITTEN;
    const { counts, changes } = this.counter.snapshot(window);
    const isClosed = before.isClosed || this.hasEnded(window);
    const saved = await this.repository.saveCounts(
      window,
      this.source,
      { counts, isClosed },
      before.version,
      signal,
    );
    this.lastWriteAtMs = this.clock.now();
    if (saved.isErr() && saved.error.failure !== 'conflict') return;
    // On a conflict the window has been reported and cleared, so nothing can be added to it.
    const version = saved.isOk() ? saved.value : before.version;
    this.written.set(window, { version, changes, isClosed });
    this.dropOld();
    while (this.written.get(this.lastClosedWindow + 1)?.isClosed) this.lastClosedWindow += 1;
  }

  private dropOld(): void {
    const oldest = this.windows.current - RETAINED_WINDOWS;
    this.lastClosedWindow = Math.max(this.lastClosedWindow, oldest);
    for (const window of this.written.keys()) {
      if (window >= oldest) continue;
      this.written.delete(window);
      this.counter.drop(window);
    }
  }
}
