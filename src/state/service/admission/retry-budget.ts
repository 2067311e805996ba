/**
 * The budget of second attempts: retries and attempts beside a silent one may be a part of the first attempts. It answers the load
 * that attempts make of themselves: when replicas slow down every request is doubled, which slows them further.
 */

/** Second attempts for each first one, at most: a few slow replicas among many are covered, a slow service is not doubled. */
const RETRIES_PER_REQUEST = 0.2;
/** Second attempts that may be saved up: those of a few replicas that fall silent together. */
const MAX_SAVED = 20;

/** The budget of one service at one node. */
export class RetryBudget {
  private saved = MAX_SAVED / 2;

  /** Second attempts that may be made now. */
  get left(): number {
    return Math.floor(this.saved);
  }

  /** A first attempt was made. */
  noteFirst(): void {
    this.saved = Math.min(MAX_SAVED, this.saved + RETRIES_PER_REQUEST);
  }

  /** Takes one second attempt from the budget; false when there is none left. */
  take(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
