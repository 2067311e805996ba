/**
 * Ejection of dispatchers, as one node learns it from its own calls. A dispatcher acknowledges a call before
 * the replica answers; one that does not in time, or whose call fails, is ejected for a while, longer each
 * time, until it acknowledges a call again.
 *
 * Owns the state of each dispatcher, in memory. The first call after an ejection is the probe.
 */
import { exponentialBackoffMs } from '../../../common/backoff.js';
import { monotonicMs } from '../../../common/clock.js';

/**
 * Time without an acknowledgement after which a dispatcher is ejected, milliseconds. Chosen, not measured:
 * leaves time for another attempt, and exceeds the pause of a machine that used up its processor share.
 */
export const ACKNOWLEDGE_TIMEOUT_MS = 100;
/** First and longest ejection, milliseconds; doubles each time. Chosen, not measured. */
const MIN_EJECTION_MS = 500;
const MAX_EJECTION_MS = 8_000;

class DispatcherState {
  /** Times of the calls that are not acknowledged, by call number, the oldest first. */
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

  /** `onEjected` is called with the name of a dispatcher and the reason when it is ejected. */
  constructor(private readonly onEjected: (name: string, reason: string) => void) {}

  /** Whether a dispatcher may be called; ejects it if a call to it is overdue. */
  isCallable(name: string): boolean {
    const dispatcher = this.dispatchers.get(name);
    if (dispatcher?.isOverdue) this.eject(name, 'a call was not acknowledged');
    return !dispatcher?.isEjected;
  }

  /** Notes that a call begins; returns its number. */
  begin(name: string): number {
    return this.stateOf(name).begin();
  }

  /** Notes that a call was acknowledged: an ejection ends. */
  acknowledge(name: string, call: number): void {
    this.stateOf(name).acknowledge(call);
  }

  /** Notes that a call has ended, acknowledged or not. */
  end(name: string, call: number): void {
    this.stateOf(name).end(call);
  }

  /** Ejects a dispatcher unless it is ejected already. */
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
