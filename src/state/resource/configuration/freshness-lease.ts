/**
 * The freshness lease: until when this node may take its configuration for the newest accepted one. It is
 * extended only by answers to questions that the node itself asked, counted from the moment of asking, so
 * that a node that was paused, or whose machine was suspended, finds its lease lapsed when it goes on.
 */

/** One lease for a node. */
export class FreshnessLease {
  private sinceConfirmedMs: () => number = () => Number.POSITIVE_INFINITY;

  /** `lengthMs`: how long a confirmation lasts, milliseconds. */
  constructor(readonly lengthMs: number) {}

  /** The configuration held now was the newest accepted one when `elapsed` began to measure. */
  confirm(elapsed: () => number): void {
    if (elapsed() <= this.ageMs()) this.sinceConfirmedMs = elapsed;
  }

  /** Age of the last confirmation, milliseconds; infinite when there was none, or when it is in doubt. */
  ageMs(): number {
    return this.sinceConfirmedMs();
  }

  /** Whether new work may be taken. */
  get isFresh(): boolean {
    return this.ageMs() < this.lengthMs;
  }
}
