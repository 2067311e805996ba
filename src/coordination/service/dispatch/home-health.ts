/**
 * Which homes take calls, as one node finds out by calling them. A home acknowledges a call before its replica has answered; one
 * that does not is passed over for a while, and the next in line takes its place.
 */
import { monotonicMs } from '../../../common/clock.js';

/**
 * A home that has not acknowledged a call for this long is passed over, milliseconds: less than a caller's usual aim leaves for a
 * second attempt, more than a small machine whose processor share is used up stands still.
 */
export const ACKNOWLEDGE_MS = 100;
/** How long it is passed over, milliseconds; doubles each time. */
const FIRST_PASS_MS = 500;
const LONGEST_PASS_MS = 8_000;

/** What is known of one home. */
class HomeState {
  /** When calls were made that are not acknowledged, by their number. */
  private readonly open = new Map<number, number>();
  private passedUntilMs = 0;
  private silences = 0;
  private calls = 0;

  begin(): number {
    this.calls += 1;
    this.open.set(this.calls, monotonicMs());
    return this.calls;
  }

  /** The call was acknowledged, answered or ended. */
  acknowledge(call: number, isHeard: boolean): void {
    this.open.delete(call);
    if (!isHeard) return;
    this.silences = 0;
    this.passedUntilMs = 0;
  }

  pass(): void {
    if (this.isPassed) return;
    this.passedUntilMs = monotonicMs() + Math.min(LONGEST_PASS_MS, FIRST_PASS_MS * 2 ** this.silences);
    this.silences += 1;
  }

  get isPassed(): boolean {
    return monotonicMs() < this.passedUntilMs;
  }

  get isSilent(): boolean {
    const [oldest] = this.open.values();
    return oldest !== undefined && monotonicMs() - oldest > ACKNOWLEDGE_MS;
  }
}

/** All homes, by name. */
export class HomeHealth {
  private readonly homes = new Map<string, HomeState>();

  /** `onPassed` is told when a home is passed over. */
  constructor(private readonly onPassed: (name: string, reason: string) => void) {}

  /** Whether a home is to be called. */
  takesCalls(name: string): boolean {
    const home = this.homes.get(name);
    if (home?.isSilent) this.pass(name, 'a call was not acknowledged');
    return !home?.isPassed;
  }

  /** A call is made; returns its number. */
  begin(name: string): number {
    return this.stateOf(name).begin();
  }

  /** A call has ended or was acknowledged. */
  acknowledge(name: string, call: number, isHeard: boolean): void {
    this.stateOf(name).acknowledge(call, isHeard);
  }

  /** Passes a home over for a while. */
  pass(name: string, reason: string): void {
    const home = this.stateOf(name);
    if (home.isPassed) return;
    home.pass();
    this.onPassed(name, reason);
  }

  /** Forgets homes that are no members any more. */
  keepOnly(names: ReadonlySet<string>): void {
    for (const name of this.homes.keys()) if (!names.has(name)) this.homes.delete(name);
  }

  private stateOf(name: string): HomeState {
    const existing = this.homes.get(name);
    if (existing) return existing;
    const created = new HomeState();
    this.homes.set(name, created);
    return created;
  }
}
