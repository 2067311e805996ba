/**
 * Freshness lease: how long this node may treat its configuration as the newest accepted one. It is extended
 * only by responses to the node's own calls, counted from the start of the call, so that it has expired after
 * a process pause or a suspended machine. When it has expired, `WorkGate` rejects new work.
 */

/** One lease for a node. */
export class FreshnessLease {
  private sinceConfirmedMs: () => number = () => Number.POSITIVE_INFINITY;

  /** `lengthMs`: how long a confirmation lasts, milliseconds. */
  constructor(readonly durationMs: number) {}

  /** The configuration held now was the newest accepted one when `elapsed` began to measure. */
  confirm(elapsed: () => number): void {
    if (elapsed() <= this.ageMs()) this.sinceConfirmedMs = elapsed;
  }

  /** Age of the last confirmation, milliseconds; infinite without one, or when the clock is in doubt. */
  ageMs(): number {
    return this.sinceConfirmedMs();
  }

  /** Whether new work may be taken. */
  get isFresh(): boolean {
    return this.ageMs() < this.durationMs;
  }
}
