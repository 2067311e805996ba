/**
 * Stores what this process counts: soon after a request was sent, limited by the rate that the store bears of
 * all nodes together, and once more when a window is over, which closes it. A node that has closed a window
 * has nothing to add to it, so that its report need not wait for longer. Writes are repeated until the store
 * answers; `closedUpTo` only rises.
 */
import { type Clock, SYSTEM_CLOCK } from '../../../common/clock.js';
import type { UsageRepository, UsageSource } from '../../../state/service/usage/index.js';
import type { UsageCounter } from './usage-counter.js';
import type { UsageWindows } from './usage-window.js';

/** Least time between two writes of a node, per node of the fleet: 200 writes a second together. */
const WRITE_SPACING_PER_NODE_MS = 5;
/** Time after its end at which a window is closed, all its requests counted. Chosen, not measured. */
const CLOSE_DELAY_MS = 150;
/** Windows before the current one that a new process closes for its predecessor on this node. */
const CLOSED_AT_STARTUP = 2;
/** Windows after which counts are no longer requested by any reporter. Chosen, not measured. */
const RETAINED_WINDOWS = 12;

/** A window as stored. */
interface WrittenWindow {
  version: number;
  /** State of the counter that was written. */
  changes: number;
  isClosed: boolean;
}

const UNWRITTEN: WrittenWindow = { version: 0, changes: 0, isClosed: false };

/** The writer of one process. */
export class UsageWriter {
  private readonly written = new Map<number, WrittenWindow>();
  /** The last window that is closed. */
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

  /** Writes until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const window = this.nextWindow();
      if (window === undefined) await this.waitForChange(signal);
      else await this.writeRateLimited(window, signal);
    }
  }

  /** Stores what is not stored yet, without pauses. Resolves when all is stored, or at the abort. */
  async flush(signal: AbortSignal): Promise<void> {
    for (let window = this.changedWindow(); window !== undefined; window = this.changedWindow()) {
      if (signal.aborted) return;
      await this.write(window, signal);
    }
  }

  private get writeSpacingMs(): number {
    return this.fleetSize() * WRITE_SPACING_PER_NODE_MS;
  }

  /** The next window to write: one whose counts have changed, or one to close. */
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
    // A conflict means that the window is reported and cleared: nothing can be added to it.
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
