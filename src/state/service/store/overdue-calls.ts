/**
 * Tracks the pending calls to the store: average latency, time without an answer, and lost answers. A call is
 * aborted when a later call has been answered and its own wait exceeds a multiple of the average latency; a
 * missing answer alone may only mean a slow store. While calls are late, probes provide later calls.
 */
import { monotonicMs } from '../../../common/clock.js';

/**
 * A call is aborted after this multiple of the average latency, but not before the minimum. Too early costs
 * another call, since it is repeated; too late delays the caller.
 */
const OVERDUE_LATENCY_FACTOR = 8;
const MIN_OVERDUE_MS = 150;
/** Weight of the newest answer in the moving average of the latency. */
const AVERAGE_WEIGHT = 0.25;
/** Wait after which a call is late, and interval of the checks from then on. */
const CHECK_INTERVAL_MS = 100;
const PROBE_INTERVAL_MS = 200;

export interface OpenCall {
  /** Aborted when the answer counts as lost, or when the caller aborts. */
  readonly signal: AbortSignal;
  /** Must be called when the call ends. */
  close(isAnswered: boolean): void;
}

interface PendingCall {
  readonly startedAtMs: number;
  /** Time for which the store may delay the answer, milliseconds; 0 unless the call is a long poll. */
  readonly longPollMs: number;
  readonly controller: AbortController;
}

export class OverdueCalls {
  private readonly pending = new Set<PendingCall>();
  /** Moving average of the latency without long polls, milliseconds; 0 before the first answer. */
  private averageMs = 0;
  /** Start of the latest answered call, on the monotonic clock. */
  private lastAnsweredStartMs = Number.NEGATIVE_INFINITY;
  private lastAnswerAtMs = Number.NEGATIVE_INFINITY;
  /** Due time of the first call that failed since the last answer; `undefined` without one. */
  private failingSinceMs: number | undefined;
  private lastProbeAtMs = Number.NEGATIVE_INFINITY;
  private timer: NodeJS.Timeout | undefined;
  /** Time of the next check; infinite without a timer. */
  private nextCheckAtMs = Number.POSITIVE_INFINITY;

  /** `probe` makes a minimal call, which must be opened and closed here like any other. */
  constructor(private readonly probe: () => void) {}

  /** Moving average, milliseconds; 0 before the first answer. */
  get averageLatencyMs(): number {
    return this.averageMs;
  }

  /**
   * Time for which calls have been due without any answer, milliseconds, at most since the last answer. Long
   * polls are due once their wait has passed.
   */
  get silentMs(): number {
    const now = monotonicMs();
    const dueSinceMs = [...this.pending].map(dueAtMs);
    const overdueSinceMs = Math.min(this.failingSinceMs ?? now, ...dueSinceMs, now);
    return Math.min(now - overdueSinceMs, now - this.lastAnswerAtMs);
  }

  /** Registers a call. `waitMs` is the wait of a long poll, else 0; `outer` aborts the call. */
  open(waitMs: number, outer?: AbortSignal): OpenCall {
    const call = { startedAtMs: monotonicMs(), longPollMs: waitMs, controller: new AbortController() };
    this.pending.add(call);
    this.scheduleCheck(dueAtMs(call) + CHECK_INTERVAL_MS);
    const onOuterAbort = () => call.controller.abort();
    if (outer?.aborted) onOuterAbort();
    outer?.addEventListener('abort', onOuterAbort, { once: true });
    return {
      signal: call.controller.signal,
      close: (isAnswered) => {
        this.pending.delete(call);
        outer?.removeEventListener('abort', onOuterAbort);
        if (isAnswered) this.recordAnswer(call);
        else if (!outer?.aborted) this.recordFailure(call);
      },
    };
  }

  private recordFailure(call: PendingCall): void {
    const sinceMs = Math.min(dueAtMs(call), monotonicMs());
    this.failingSinceMs = Math.min(this.failingSinceMs ?? sinceMs, sinceMs);
  }

  private recordAnswer(call: PendingCall): void {
    this.lastAnswerAtMs = monotonicMs();
    this.failingSinceMs = undefined;
    this.lastAnsweredStartMs = Math.max(this.lastAnsweredStartMs, call.startedAtMs);
    if (call.longPollMs > 0) return;
    const latencyMs = monotonicMs() - call.startedAtMs;
    this.averageMs += (latencyMs - this.averageMs) * AVERAGE_WEIGHT;
    this.abortOverdue();
  }

  /** Schedules a check at `timeMs`, unless an earlier one is scheduled. */
  private scheduleCheck(timeMs: number): void {
    if (timeMs >= this.nextCheckAtMs) return;
    clearTimeout(this.timer);
    this.nextCheckAtMs = timeMs;
    this.timer = setTimeout(() => this.check(), Math.ceil(timeMs - monotonicMs()));
    this.timer.unref();
  }

  private check(): void {
    this.nextCheckAtMs = Number.POSITIVE_INFINITY;
    if (this.pending.size === 0) return;
    this.abortOverdue();
    const now = monotonicMs();
    const lateAtMs = Math.min(...[...this.pending].map(dueAtMs)) + CHECK_INTERVAL_MS;
    if (lateAtMs <= now && now - this.lastProbeAtMs >= PROBE_INTERVAL_MS) {
      this.lastProbeAtMs = now;
      this.probe();
    }
    this.scheduleCheck(Math.max(lateAtMs, now + CHECK_INTERVAL_MS));
  }

  private abortOverdue(): void {
    const now = monotonicMs();
    const overdueAfterMs = Math.max(MIN_OVERDUE_MS, this.averageMs * OVERDUE_LATENCY_FACTOR);
    for (const call of this.pending) {
      const isOvertaken = dueAtMs(call) < this.lastAnsweredStartMs;
      if (isOvertaken && now - dueAtMs(call) > overdueAfterMs) call.controller.abort();
    }
  }
}

/** Time at which the answer is due. */
function dueAtMs({ startedAtMs, longPollMs }: PendingCall): number {
  return startedAtMs + longPollMs;
}
