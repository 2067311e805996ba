/**
 * The open calls of the store: how long answers take, for how long none has come, and which calls are aborted
 * because their answer is lost. A missing answer alone proves nothing, since the store may be slow. But when
 * a later call has been answered, and the earlier one has waited many times as long as answers take now, its
 * answer is lost, and waiting only delays the repeat. While calls wait, a minimal scan probes the store now
 * and then, so that there is something to be answered.
 */
import { monotonicMs } from '../../../common/clock.js';

/**
 * Wait after which an overtaken call is aborted: this many usual answers, at least the shortest wait,
 * milliseconds. Chosen, not measured: a call aborted too early is repeated and costs another, one aborted too
 * late delays its caller.
 */
const OVERDUE_LATENCY_FACTOR = 8;
const MIN_OVERDUE_MS = 150;
/** Weight of the newest answer in the moving average of answer times. Chosen, not measured. */
const AVERAGE_WEIGHT = 0.25;
/** Wait after which a call is late, and the interval of checks from then on. Chosen, not measured. */
const CHECK_INTERVAL_MS = 100;
/** Interval of probes while calls are late. Chosen, not measured. */
const PROBE_INTERVAL_MS = 200;

/** A call under way. */
export interface OpenCall {
  /** Aborted when the answer counts as lost, or by the caller. */
  readonly signal: AbortSignal;
  /** Must be called once the call has ended. */
  close(isAnswered: boolean): void;
}

interface PendingCall {
  readonly startedAtMs: number;
  /** Time for which the store may hold the answer (long poll), milliseconds. */
  readonly longPollMs: number;
  readonly controller: AbortController;
}

/** The open calls of a process. */
export class OverdueCalls {
  private readonly pending = new Set<PendingCall>();
  /** Moving average of answer times, milliseconds; 0 before the first answer. */
  private averageMs = 0;
  /** Start of the latest call that has been answered. */
  private lastAnsweredStartMs = Number.NEGATIVE_INFINITY;
  private lastAnswerAtMs = Number.NEGATIVE_INFINITY;
  /** When the first call that failed since the last answer was due; `undefined` without one. */
  private failingSinceMs: number | undefined;
  private lastProbeAtMs = Number.NEGATIVE_INFINITY;
  private timer: NodeJS.Timeout | undefined;
  /** When the timer fires; infinite while there is none. */
  private nextCheckAtMs = Number.POSITIVE_INFINITY;

  /** `probe` makes a minimal call, which is opened and closed here like any other. */
  constructor(private readonly probe: () => void) {}

  /** How long an answer usually takes now, milliseconds; 0 before the first. */
  get averageLatencyMs(): number {
    return this.averageMs;
  }

  /**
   * Time for which no call was answered although some were open, milliseconds: since the first one due that
   * failed or waits, at most since the last answer. Long polls are due once their wait has passed.
   */
  get silentMs(): number {
    const now = monotonicMs();
    const dueSinceMs = [...this.pending].map(dueAtMs);
    const overdueSinceMs = Math.min(this.failingSinceMs ?? now, ...dueSinceMs, now);
    return Math.min(now - overdueSinceMs, now - this.lastAnswerAtMs);
  }

  /** Opens a call; the caller may abort it by `outer`. */
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

  /** Checks the waiting calls at `timeMs` or before. */
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

/** Time from which an answer is missing. */
function dueAtMs({ startedAtMs, longPollMs }: PendingCall): number {
  return startedAtMs + longPollMs;
}
