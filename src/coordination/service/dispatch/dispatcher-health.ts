/**
 * Passive health check of dispatchers from this node's own calls. Dispatchers acknowledge a call before the
 * replica answers; one that does not in time, or whose call fails, is ejected with exponential back-off until
 * it acknowledges a call again. The first call after an ejection serves as the probe.
 */
import { exponentialBackoffMs } from '../../../common/backoff.js';
import { monotonicMs } from '../../../common/clock.js';

/**
 * Time without an acknowledgement after which a dispatcher is ejected, milliseconds. Longer than the pause of
 * a node that is throttled by its CPU quota, and short enough to leave time for another attempt.
 */
export const ACKNOWLEDGE_TIMEOUT_MS = 100;
/** First and longest ejection, milliseconds. Doubles each time. */
const MIN_EJECTION_MS = 500;
const MAX_EJECTION_MS = 8_000;

class DispatcherState {
  /** Start times of unacknowledged calls by call number, the oldest first. */
  private readonly unacknowledged = new Map<number, number>();
  private ejectedUntilMs = 0;
  private ejections = 0;
  private lastCallNumber = 0;

  begin(): number {
    this.lastCallNumber += 1;
    this.unacknowledged.set(this.lastCallNumber, monotonicMs());
    return this.lastCallNumber;
  }

  end(call: number): void {
    this.unacknowledged.delete(call);
  }

  acknowledge(call: number): void {
    this.end(call);
    this.ejections = 0;
    this.ejectedUntilMs = 0;
  }

  eject(): void {
    this.ejectedUntilMs =
      monotonicMs() + exponentialBackoffMs(MIN_EJECTION_MS, this.ejections, MAX_EJECTION_MS);
    this.ejections += 1;
  }

  get isEjected(): boolean {
    return monotonicMs() < this.ejectedUntilMs;
  }

  /** Whether its oldest unacknowledged call is overdue. */
  get isOverdue(): boolean {
    const [oldestMs] = this.unacknowledged.values();
    return oldestMs !== undefined && monotonicMs() - oldestMs > ACKNOWLEDGE_TIMEOUT_MS;
  }
}

export class DispatcherHealth {
  private readonly dispatchers = new Map<string, DispatcherState>();

  /** `onEjected` is called when a dispatcher is ejected. */
  constructor(private readonly onEjected: (name: string, reason: string) => void) {}

  /** Whether a dispatcher may be called. Ejects it if an acknowledgement is overdue. */
  isCallable(name: string): boolean {
    const dispatcher = this.dispatchers.get(name);
    if (dispatcher?.isOverdue) this.eject(name, 'a call was not acknowledged in time');
    return !dispatcher?.isEjected;
  }

  /** Records the start of a call and returns its number. */
  begin(name: string): number {
    return this.stateOf(name).begin();
  }

  /** Records an acknowledgement, which ends an ejection. */
  acknowledge(name: string, call: number): void {
    this.stateOf(name).acknowledge(call);
  }

  /** Records the end of a call, acknowledged or not. */
  end(name: string, call: number): void {
    this.stateOf(name).end(call);
  }

  /** Ejects a dispatcher unless it is already ejected. */
  eject(name: string, reason: string): void {
    const dispatcher = this.stateOf(name);
    if (dispatcher.isEjected) return;
    dispatcher.eject();
    this.onEjected(name, reason);
  }

  /** Removes the state of nodes that are no longer members. */
  retainOnly(names: ReadonlySet<string>): void {
    for (const name of this.dispatchers.keys()) if (!names.has(name)) this.dispatchers.delete(name);
  }

  private stateOf(name: string): DispatcherState {
    const existing = this.dispatchers.get(name);
    if (existing) return existing;
    const created = new DispatcherState();
    this.dispatchers.set(name, created);
    return created;
  }
}
