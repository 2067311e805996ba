/** Time windows in which usage is counted. Window k begins k lengths after the Unix epoch. */

export class UsageWindows {
  constructor(
    /** Milliseconds since the Unix epoch. */
    private readonly now: () => number,
    private readonly lengthMs: number,
  ) {}

  /** Number of the window that contains the current time. */
  get current(): number {
    return Math.floor(this.now() / this.lengthMs);
  }

  /** Time since the end of a window; negative before its end. */
  sinceEndMs(window: number): number {
    return this.now() - (window + 1) * this.lengthMs;
  }
}
