/**
 * Monitors one generation attempt and aborts it when it stalls, when its replica restarts, or when another
 * replica would finish the sample sooner. Checks run on a timer until `stop` is called.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import type { AttemptPace, GenerationOptions, GenerationOutcome } from './generation-options.js';

/** Short compared with the minimum stall timeout of a second. */
const CHECK_INTERVAL_MS = 100;
/** Events in the moving average of the pace, so that a single late event causes no move. */
const PACE_WINDOW_EVENTS = 6;

/** Outcome of an attempt that the monitor aborted. */
export type AbortOutcome = Extract<GenerationOutcome, { kind: 'broken' | 'moved' }>;

/** `eventTimes`: monotonic clock, oldest first. Returns `undefined` while there are too few. */
function measurePace(eventTimes: readonly number[], nowMs: number): AttemptPace | undefined {
  const [first] = eventTimes;
  if (first === undefined || eventTimes.length < PACE_WINDOW_EVENTS) return undefined;
  return { eventMs: (nowMs - first) / eventTimes.length };
}

export class AttemptMonitor {
  private readonly controller = new AbortController();
  private readonly timer: NodeJS.Timeout;
  private readonly onAbort = () => this.controller.abort();
  private readonly unsubscribeRestart: () => void;
  private lastProgressAtMs = monotonicMs();
  /** Arrival times of the most recent events on the monotonic clock, oldest first. */
  private readonly eventTimes: number[] = [];
  private abortOutcome: AbortOutcome | undefined;

  constructor(
    private readonly options: Pick<GenerationOptions, 'stallMs' | 'reasonToMove' | 'signal'>,
    private readonly state: ReplicaState,
  ) {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    options.signal.addEventListener('abort', this.onAbort, { once: true });
    if (options.signal.aborted) this.controller.abort();
    this.unsubscribeRestart = state.onRestart(() =>
      this.abortWith({ kind: 'broken', reason: 'the replica has restarted', isConnectionLost: true }),
    );
  }

  /** Aborted by this monitor or by the job. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** `undefined` unless this monitor aborted the attempt. */
  get outcome(): AbortOutcome | undefined {
    return this.abortOutcome;
  }

  recordHead(): void {
    this.lastProgressAtMs = monotonicMs();
  }

  /** Records the arrival of a complete event; other bytes are no progress. */
  recordEvent(): void {
    const previousAtMs = this.eventTimes.at(-1);
    const nowMs = monotonicMs();
    this.lastProgressAtMs = nowMs;
    if (previousAtMs !== undefined) this.state.recordEventInterval(nowMs - previousAtMs);
    this.eventTimes.push(nowMs);
    if (this.eventTimes.length > PACE_WINDOW_EVENTS) this.eventTimes.shift();
  }

  stop(): void {
    clearInterval(this.timer);
    this.options.signal.removeEventListener('abort', this.onAbort);
    this.unsubscribeRestart();
  }

  private check(): void {
    const { stallMs } = this.options;
    if (monotonicMs() - this.lastProgressAtMs >= stallMs) {
      this.abortWith({ kind: 'broken', reason: `stalled: no event for ${Math.round(stallMs)} ms` });
      return;
    }
    const pace = measurePace(this.eventTimes, monotonicMs());
    const reason = pace && this.options.reasonToMove(pace);
    if (reason !== undefined) this.abortWith({ kind: 'moved', reason });
  }

  private abortWith(outcome: AbortOutcome): void {
    this.abortOutcome ??= outcome;
    this.controller.abort();
  }
}
