/**
 * Watches the events of one attempt and breaks it off when it stalls, when its replica restarts, or when the
 * sample would be finished sooner elsewhere. Owns the abort signal of the attempt's exchange, and a timer
 * until `stop` is called.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import type { AttemptPace, GenerationOptions, GenerationOutcome } from './generation-terms.js';

/** Interval of the checks, ms. Chosen, not measured: short against the least stall time-out of a second. */
const CHECK_INTERVAL_MS = 100;
/** Events over which the pace is measured. Chosen, not measured: one late event must not cause a move. */
const PACE_WINDOW_EVENTS = 6;

/** Why and how a watch has broken its attempt off. */
export type AbortOutcome = Extract<GenerationOutcome, { kind: 'broken' | 'moved' }>;

/** Pace, from event times on the monotonic clock, oldest first; `undefined` while they are too few. */
function measurePace(eventTimes: readonly number[], nowMs: number): AttemptPace | undefined {
  const [first] = eventTimes;
  if (first === undefined || eventTimes.length < PACE_WINDOW_EVENTS) return undefined;
  return { eventMs: (nowMs - first) / eventTimes.length };
}

/** The watch of one attempt. */
export class AttemptMonitor {
  private readonly controller = new AbortController();
  private readonly timer: NodeJS.Timeout;
  private readonly onAbort = () => this.controller.abort();
  private readonly unsubscribeRestart: () => void;
  private lastDataAtMs = monotonicMs();
  /** Times of the last events, oldest first. */
  private readonly eventTimes: number[] = [];
  private abortOutcome: AbortOutcome | undefined;

  constructor(
    private readonly terms: Pick<GenerationOptions, 'stallMs' | 'reasonToMove' | 'signal'>,
    private readonly state: ReplicaState,
  ) {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
    terms.signal.addEventListener('abort', this.onAbort, { once: true });
    if (terms.signal.aborted) this.controller.abort();
    this.unsubscribeRestart = state.onRestart(() =>
      this.abortWith({ kind: 'broken', reason: 'the replica has restarted', isConnectionLost: true }),
    );
  }

  /** Aborted when the attempt is broken off, here or by its job. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** How the watch broke the attempt off, if it did. */
  get outcome(): AbortOutcome | undefined {
    return this.abortOutcome;
  }

  /** Data was received. */
  recordData(): void {
    this.lastDataAtMs = monotonicMs();
  }

  /** An event was received whole. */
  recordEvent(): void {
    const before = this.eventTimes.at(-1);
    const now = monotonicMs();
    if (before !== undefined) this.state.recordEventInterval(now - before);
    this.eventTimes.push(now);
    if (this.eventTimes.length > PACE_WINDOW_EVENTS) this.eventTimes.shift();
  }

  stop(): void {
    clearInterval(this.timer);
    this.terms.signal.removeEventListener('abort', this.onAbort);
    this.unsubscribeRestart();
  }

  private check(): void {
    const { stallMs } = this.terms;
    if (monotonicMs() - this.lastDataAtMs >= stallMs) {
      this.abortWith({ kind: 'broken', reason: `stalled: no data for ${Math.round(stallMs)} ms` });
      return;
    }
    const pace = measurePace(this.eventTimes, monotonicMs());
    const reason = pace && this.terms.reasonToMove(pace);
    if (reason !== undefined) this.abortWith({ kind: 'moved', reason });
  }

  private abortWith(outcome: AbortOutcome): void {
    this.abortOutcome ??= outcome;
    this.controller.abort();
  }
}
