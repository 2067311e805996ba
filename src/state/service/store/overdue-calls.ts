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
const OVERDUE_ANSWERS = 8;
const SHORTEST_WAIT_MS = 150;
/** Weight of the newest answer in the moving average of answer times. Chosen, not measured. */
const AVERAGE_WEIGHT = 0.25;
/** Wait after which a call is late, and the interval of checks from then on. Chosen, not measured. */
const CHECK_MS = 100;
/** Interval of probes while calls are late. Chosen, not measured. */
const PROBE_MS = 200;

/** A call under way. */
export interface OpenCall {
  /** Aborted when the answer counts as lost, or by the caller. */
  readonly signal: AbortSignal;
  /** Must be called once the call has ended. */
  close(isAnswered: boolean): void;
}

interface WaitingCall {
  readonly startedAtMs: number;
  /** Time for which the store may hold the answer (long poll), milliseconds. */
  readonly heldMs: number;
  readonly controller: AbortController;
}

/** The open calls of a process. */
export class OverdueCalls {
  private readonly waiting = new Set<WaitingCall>();
  /** Moving average of answer times, milliseconds; 0 before the first answer. */
  private averageMs = 0;
  /** Start of the latest call that has been answered. */
  private answeredCallStartedAtMs = Number.NEGATIVE_INFINITY;
  private answeredAtMs = Number.NEGATIVE_INFINITY;
  /** When the first call that failed since the last answer was due; `undefined` without one. */
  private failingSinceMs: number | undefined;
  private probedAtMs = Number.NEGATIVE_INFINITY;
  private timer: NodeJS.Timeout | undefined;
  /** When the timer fires; infinite while there is none. */
  private checksAtMs = Number.POSITIVE_INFINITY;

  /** `probe` makes a minimal call, which is opened and closed here like any other. */
  constructor(private readonly probe: () => void) {}

  /** How long an answer usually takes now, milliseconds; 0 before the first. */
  get usualAnswerMs(): number {
    return this.averageMs;
  }

  /**
   * Time for which no call was answered although some were open, milliseconds: since the first one due that
   * failed or waits, at most since the last answer. Long polls are due once their wait has passed.
   */
  get silentMs(): number {
    const now = monotonicMs();
    const dueSinceMs = [...this.waiting].map(dueAtMs);
    const askedAtMs = Math.min(this.failingSinceMs ?? now, ...dueSinceMs, now);
    return Math.min(now - askedAtMs, now - this.answeredAtMs);
  }

  /** Opens a call; the caller may abort it by `outer`. */
  open(heldMs: number, outer?: AbortSignal): OpenCall {
    const call = { startedAtMs: monotonicMs(), heldMs, controller: new AbortController() };
    this.waiting.add(call);
    this.checkAt(dueAtMs(call) + CHECK_MS);
    const onOuterAbort = () => call.controller.abort();
    if (outer?.aborted) onOuterAbort();
    outer?.addEventListener('abort', onOuterAbort, { once: true });
    return {
      signal: call.controller.signal,
      close: (isAnswered) => {
        this.waiting.delete(call);
        outer?.removeEventListener('abort', onOuterAbort);
        if (isAnswered) this.noteAnswer(call);
        else if (!outer?.aborted) this.noteFailure(call);
      },
    };
  }

  private noteFailure(call: WaitingCall): void {
    const sinceMs = Math.min(dueAtMs(call), monotonicMs());
    this.failingSinceMs = Math.min(this.failingSinceMs ?? sinceMs, sinceMs);
  }

  private noteAnswer(call: WaitingCall): void {
    this.answeredAtMs = monotonicMs();
    this.failingSinceMs = undefined;
    this.answeredCallStartedAtMs = Math.max(this.answeredCallStartedAtMs, call.startedAtMs);
    if (call.heldMs > 0) return;
    const tookMs = monotonicMs() - call.startedAtMs;
    this.averageMs += (tookMs - this.averageMs) * AVERAGE_WEIGHT;
    this.abortOverdue();
  }

  /** Checks the waiting calls at `timeMs` or before. */
  private checkAt(timeMs: number): void {
    if (timeMs >= this.checksAtMs) return;
    clearTimeout(this.timer);
    this.checksAtMs = timeMs;
    this.timer = setTimeout(() => this.check(), Math.ceil(timeMs - monotonicMs()));
    this.timer.unref();
  }

  private check(): void {
    this.checksAtMs = Number.POSITIVE_INFINITY;
    if (this.waiting.size === 0) return;
    this.abortOverdue();
    const now = monotonicMs();
    const lateAtMs = Math.min(...[...this.waiting].map(dueAtMs)) + CHECK_MS;
    if (lateAtMs <= now && now - this.probedAtMs >= PROBE_MS) {
      this.probedAtMs = now;
      this.probe();
    }
    this.checkAt(Math.max(lateAtMs, now + CHECK_MS));
  }

  private abortOverdue(): void {
    const now = monotonicMs();
    const longestWaitMs = Math.max(SHORTEST_WAIT_MS, this.averageMs * OVERDUE_ANSWERS);
    for (const call of this.waiting) {
      const isOvertaken = dueAtMs(call) < this.answeredCallStartedAtMs;
      if (isOvertaken && now - dueAtMs(call) > longestWaitMs) call.controller.abort();
    }
  }
}

/** Time from which an answer is missing. */
function dueAtMs({ startedAtMs, heldMs }: WaitingCall): number {
  return startedAtMs + heldMs;
}
