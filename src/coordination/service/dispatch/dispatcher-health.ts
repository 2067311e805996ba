/**
 * Which homes take calls, as one node finds out by calling them. A home acknowledges a call before its replica has answered; one
 * that does not is passed over for a while, and the next in line takes its place.
 */
import { monotonicMs } from '../../../common/clock.js';

/**
 * A home that has not acknowledged a call for this long is passed over, milliseconds: less than a caller's usual aim leaves for a
 * second attempt, more than a small machine whose processor share is used up stands still.
 */
export const ACKNOWLEDGE_TIMEOUT_MS = 100;
/** How long it is passed over, milliseconds; doubles each time. */
const MIN_EJECTION_MS = 500;
const MAX_EJECTION_MS = 8_000;

/** What is known of one home. */
class DispatcherState {
  /** When calls were made that are not acknowledged, by their number. */
  private readonly unacknowledged = new Map<number, number>();
  private ejectedUntilMs = 0;
  private ejections = 0;
  private calls = 0;

  begin(): number {
    this.calls += 1;
    this.unacknowledged.set(this.calls, monotonicMs());
    return this.calls;
  }

  /** The call was acknowledged, answered or ended. */
  acknowledge(call: number, isAcknowledged: boolean): void {
    this.unacknowledged.delete(call);
    if (!isAcknowledged) return;
    this.ejections = 0;
    this.ejectedUntilMs = 0;
  }

  eject(): void {
    if (this.isEjected) return;
    this.ejectedUntilMs = monotonicMs() + Math.min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2 ** this.ejections);
    this.ejections += 1;
  }

  get isEjected(): boolean {
    return monotonicMs() < this.ejectedUntilMs;
  }

  get isSilent(): boolean {
    const [oldest] = this.unacknowledged.values();
    return oldest !== undefined && monotonicMs() - oldest > ACKNOWLEDGE_TIMEOUT_MS;
  }
}

/** All homes, by name. */
export class DispatcherHealth {
  private readonly dispatchers = new Map<string, DispatcherState>();

  /** `onPassed` is told when a home is passed over. */
  constructor(private readonly onEjected: (name: string, reason: string) => void) {}

  /** Whether a home is to be called. */
  takesCalls(name: string): boolean {
    const dispatcher = this.dispatchers.get(name);
    if (dispatcher?.isSilent) this.eject(name, 'a call was not acknowledged');
    return !dispatcher?.isEjected;
  }

  /** A call is made; returns its number. */
  begin(name: string): number {
    return this.stateOf(name).begin();
  }

  /** A call has ended or was acknowledged. */
  acknowledge(name: string, call: number, isAcknowledged: boolean): void {
    this.stateOf(name).acknowledge(call, isAcknowledged);
  }

  /** Passes a home over for a while. */
  eject(name: string, reason: string): void {
    const dispatcher = this.stateOf(name);
    if (dispatcher.isEjected) return;
    dispatcher.eject();
    this.onEjected(name, reason);
  }

  /** Forgets homes that are no members any more. */
  keepOnly(names: ReadonlySet<string>): void {
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
