/**
 * Time for which this node may treat its configuration as the newest one. Only responses to the node's own
 * calls extend it, counted from the start of the call, so it has expired after a process pause or a suspended
 * machine. `WorkGate` rejects new work while it is expired.
 */

export class FreshnessLease {
  private sinceConfirmedMs: () => number = () => Number.POSITIVE_INFINITY;

  /** `durationMs`: validity of a confirmation. */
  constructor(readonly durationMs: number) {}

  /** Records that the configuration was the newest one when `elapsed`, in milliseconds, started to count. */
  confirm(elapsed: () => number): void {
    if (elapsed() <= this.ageMs()) this.sinceConfirmedMs = elapsed;
  }

  /** Age of the last confirmation; infinite without one or when the clock is not trusted. */
  ageMs(): number {
    return this.sinceConfirmedMs();
  }

  /** Whether new work may be accepted. */
  get isFresh(): boolean {
    return this.ageMs() < this.durationMs;
  }
}
