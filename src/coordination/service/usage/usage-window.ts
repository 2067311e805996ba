/** Numbered windows of time in which usage is counted: window k begins k lengths after the start of 1970. */

/** Windows of one length. */
export class UsageWindows {
  constructor(
    /** Time of day, milliseconds since the start of 1970. */
    private readonly now: () => number,
    private readonly lengthMs: number,
  ) {}

  /** The window that contains the present. */
  get current(): number {
    return Math.floor(this.now() / this.lengthMs);
  }

  /** Time since the end of a window, milliseconds; negative while it lasts. */
  sinceEndMs(window: number): number {
    return this.now() - (window + 1) * this.lengthMs;
  }
}
