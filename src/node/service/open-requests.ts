/**
 * Callers' requests that are open at a node, and which ones it still takes while it drains. Load balancers need
 * some time to notice the drain, and callers go on using open connections, so requests arrive until the end. A
 * request is taken only if it will certainly be answered before the process exits; others are rejected at once,
 * since callers can repeat what has not run at another node.
 */
import { setMaxListeners } from 'node:events';
import { monotonicMs } from '../../common/clock.js';
import { type DrainDeadlines, waitUntil } from './drain.js';

/** Connections of the callers. */
export interface CallerConnections {
  /** Whether bytes of a response wait for a caller that reads slowly. */
  readonly hasUnsentBytes: boolean;
  /** Closes connections without an open request. */
  closeIdleConnections(): void;
}

export class OpenRequests {
  /** Requests that were open when the node stopped waiting for them. */
  endedEarlyCount = 0;
  private count = 0;
  private deadlines: DrainDeadlines | undefined;
  private readonly controller = new AbortController();

  constructor() {
    setMaxListeners(0, this.controller.signal);
  }

  /** Aborts when the requests that are still open must be answered without delay. */
  get ending(): AbortSignal {
    return this.controller.signal;
  }

  /** Time until `ending` aborts, milliseconds; infinite unless the node drains. */
  get timeLeftMs(): number {
    return this.deadlines ? Math.max(0, this.deadlines.finishRequestsAtMs - monotonicMs()) : Infinity;
  }

  /** Counts a request as open while `serve` runs. */
  async track<T>(serve: () => Promise<T>): Promise<T> {
    this.count += 1;
    try {
      return await serve();
    } finally {
      this.count -= 1;
    }
  }

  /**
   * Whether a request that is answered by `answeredByMs` at the latest (monotonic clock) is taken. Until load
   * balancers have noticed the drain, all are, since nothing has told their callers of another node.
   */
  admits(answeredByMs: number): boolean {
    if (!this.deadlines) return true;
    if (this.ending.aborted) return false;
    const { trafficMovedAtMs, finishRequestsAtMs } = this.deadlines;
    return monotonicMs() < trafficMovedAtMs || answeredByMs <= finishRequestsAtMs;
  }

  /** Begins the drain. */
  beginDrain(deadlines: DrainDeadlines): void {
    this.deadlines = deadlines;
  }

  /** Resolves when all responses have been sent, or at the end of the drain; no request is taken from then on. */
  async finish(deadlines: DrainDeadlines, connections: CallerConnections): Promise<void> {
    const isIdle = () => this.count === 0 && !connections.hasUnsentBytes;
    await waitUntil(isIdle, deadlines.finishRequestsAtMs);
    this.endedEarlyCount = this.count;
    this.controller.abort();
    await waitUntil(isIdle, deadlines.answerAllAtMs);
  }
}
