/**
 * Retry budget of one service at one node: retries and hedges are limited to a share of first attempts, so
 * that slow replicas do not double their own load. Lost with the process; a new one starts half full.
 */

/** Retries and hedges for each first attempt. Chosen, not measured: not enough for a slow service. */
const RETRIES_PER_REQUEST = 0.2;
/** Largest budget, requests. Chosen, not measured: what a few replicas that fail together have in flight. */
const MAX_SAVED = 20;

export class RetryBudget {
  private saved = MAX_SAVED / 2;

  /** Whole retries or hedges that may be sent now. */
  get left(): number {
    return Math.floor(this.saved);
  }

  /** Notes a first attempt. */
  noteFirst(): void {
    this.saved = Math.min(MAX_SAVED, this.saved + RETRIES_PER_REQUEST);
  }

  /** Takes one from the budget; false when it is exhausted. */
  take(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
