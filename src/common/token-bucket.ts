/** Rate limit with a bounded burst, on the monotonic clock. */
import { MILLISECONDS_PER_SECOND, monotonicMs } from './clock.js';

/** Grants `ratePerSecond` tokens on average, at most `burst` at once. */
export class TokenBucket {
  private tokens: number;
  private updatedAtMs = monotonicMs();

  constructor(
    private readonly ratePerSecond: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
  }

  /** Takes a token and returns 0, or returns the time until the next one, milliseconds. */
  take(): number {
    this.refill();
    if (this.tokens >= 1) {
      this.tokens -= 1;
      return 0;
    }
    return ((1 - this.tokens) / this.ratePerSecond) * MILLISECONDS_PER_SECOND;
  }

  private refill(): void {
    const now = monotonicMs();
    const gained = ((now - this.updatedAtMs) / MILLISECONDS_PER_SECOND) * this.ratePerSecond;
    this.tokens = Math.min(this.burst, this.tokens + gained);
    this.updatedAtMs = now;
  }
}
