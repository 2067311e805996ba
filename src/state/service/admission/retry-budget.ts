/**
 * Retry budget of one service at one node: retries and hedges are limited to a share of first attempts, so
 * that slow replicas do not double their own load. Lost with the process; a new one starts half full.
 */

/** Retries and hedges for each first attempt. Chosen, not measured: not enough for a slow service. */
const TOKENS_PER_FIRST_ATTEMPT = 0.2;
/** Largest budget, requests. Chosen, not measured: what a few replicas that fail together have in flight. */
const MAX_TOKENS = 20;

export class RetryBudget {
  private tokens = MAX_TOKENS / 2;

  /** Whole retries or hedges that may be sent now. */
  get available(): number {
    return Math.floor(this.tokens);
  }

  /** Notes a first attempt. */
  recordFirstAttempt(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + TOKENS_PER_FIRST_ATTEMPT);
  }

  /** Takes one from the budget; false when it is exhausted. */
  tryTake(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
