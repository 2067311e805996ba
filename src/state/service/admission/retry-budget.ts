/**
 * Token bucket that limits retries and hedges to a fraction of the first attempts, so that retries cannot
 * multiply the load of a slow service. Kept in memory per service and node; starts half full.
 */

/** Tokens added per first attempt; each retry or hedge takes one. */
const TOKENS_PER_FIRST_ATTEMPT = 0.2;
/** Capacity of the bucket: the requests in flight at a few replicas that fail together. */
const MAX_TOKENS = 20;

export class RetryBudget {
  private tokens = MAX_TOKENS / 2;

  /** Number of retries or hedges that may be sent now. */
  get available(): number {
    return Math.floor(this.tokens);
  }

  recordFirstAttempt(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + TOKENS_PER_FIRST_ATTEMPT);
  }

  /** Takes a token; returns false if none is left. */
  tryTake(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
