/**
 * The open calls of the store: how long answers take, since when none has come, and which calls are given up because
 * their answer will not come. A missing answer alone proves nothing: the store may be slow.
 * But when a call that was made later has been answered, and the earlier one has waited many times as long as answers
 * take now, its answer is lost, and waiting for it only delays the repeat. While calls wait, a small question is asked now
 * and then, so that there is something to be answered.
 */
import { monotonicMs } from '../../../common/clock.js';

/** A call is never given up before this, milliseconds. */
const SHORTEST_WAIT_MS = 150;
/** A call is overdue after this many times the usual time of an answer. */
const PATIENCE = 8;
/** Weight of the newest answer in the moving average. */
const AVERAGE_WEIGHT = 0.25;
/** A call is late after this time, milliseconds; while calls are late they are looked at as often as that. */
const CHECK_MS = 100;
/** Time between two questions while calls wait, milliseconds. */
const PROBE_MS = 200;

/** A call under way. */
export interface OpenCall {
  /** Aborted when the call is given up. */
  readonly signal: AbortSignal;
  /** Must be called at the end. */
  close(isAnswered: boolean): void;
}

interface WaitingCall {
  readonly startedAtMs: number;
  /** Time that the store may hold the answer on purpose, milliseconds. */
  readonly heldMs: number;
  readonly controller: AbortController;
}

/** The open calls of a process. */
export class OverdueCalls {
  private readonly waiting = new Set<WaitingCall>();
  private averageMs = 0;
  /** Start of the latest call that has been answered. */
  private answeredCallStartedAtMs = Number.NEGATIVE_INFINITY;
  private answeredAtMs = Number.NEGATIVE_INFINITY;
  /** When the first call was due that has failed since the last answer; `undefined` without one. */
  private failingSinceMs: number | undefined;
  private probedAtMs = Number.NEGATIVE_INFINITY;
  private timer: NodeJS.Timeout | undefined;
  /** When the timer goes off; infinite while there is none. */
  private checksAtMs = Number.POSITIVE_INFINITY;

  /** `probe` asks the store a small question; its call is opened and closed here like any other. */
  constructor(private readonly probe: () => void) {}

  /** How long an answer usually takes now, milliseconds. */
  get usualAnswerMs(): number {
    return this.averageMs;
  }

  /**
   * Time for which nothing was answered although something was asked, milliseconds: since the first call that has failed or
   * waits, but not longer than since the last answer. Calls that the store may hold count from then on.
   */
  get silentMs(): number {
    const now = monotonicMs();
    const dueSinceMs = [...this.waiting].map(dueAtMs);
    const askedAtMs = Math.min(this.failingSinceMs ?? now, ...dueSinceMs, now);
    return Math.min(now - askedAtMs, now - this.answeredAtMs);
  }

  /** Opens a call. `outer` gives it up as well. */
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
    this.giveUpOverdue();
  }

  /** Looks at the waiting calls at `timeMs` or before. */
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
    this.giveUpOverdue();
    const now = monotonicMs();
    const lateAtMs = Math.min(...[...this.waiting].map(dueAtMs)) + CHECK_MS;
    if (lateAtMs <= now && now - this.probedAtMs >= PROBE_MS) {
      this.probedAtMs = now;
      this.probe();
    }
    this.checkAt(Math.max(lateAtMs, now + CHECK_MS));
  }

  private giveUpOverdue(): void {
    const now = monotonicMs();
    const patienceMs = Math.max(SHORTEST_WAIT_MS, this.averageMs * PATIENCE);
    for (const call of this.waiting) {
      const isOvertaken = dueAtMs(call) < this.answeredCallStartedAtMs;
      if (isOvertaken && now - dueAtMs(call) > patienceMs) call.controller.abort();
    }
  }
}

/** Time from which on an answer is missing. */
function dueAtMs({ startedAtMs, heldMs }: WaitingCall): number {
  return startedAtMs + heldMs;
}
