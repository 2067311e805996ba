/**
 * The freshness lease: until when this node may take its configuration for the newest accepted one. It is
 * extended only by answers to questions that the node itself asked, counted from the moment of asking, so
 * that a node that was paused finds its lease lapsed when it goes on.
 */
import { monotonicMs } from '../../common/clock.js';

/** One lease for a node. */
export class FreshnessLease {
  private confirmedAtMs = Number.NEGATIVE_INFINITY;

  /** `lengthMs`: how long a confirmation lasts, milliseconds. */
  constructor(readonly lengthMs: number) {}

  /** At `atMs` (monotonic) the configuration held now was the newest accepted one. */
  confirm(atMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
  }

  /** Age of the last confirmation, milliseconds; infinite when there was none. */
  ageMs(): number {
    return monotonicMs() - this.confirmedAtMs;
  }

  /** Whether new work may be taken. */
  get isFresh(): boolean {
    return this.ageMs() < this.lengthMs;
  }
}
