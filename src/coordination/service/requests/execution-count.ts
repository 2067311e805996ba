/** Tells whether a request may have run, and counts it for its tenant once, while any attempt may run. */

/** Counts a request of a tenant; call what it returns if the request turns out not to have run. */
export type RunCounter = (tenant: string) => () => void;

/** Identifies an attempt. */
export type AttemptToken = object;

/** The attempts of one request. */
export class ExecutionCount {
  private readonly attempts = new Set<AttemptToken>();
  private readonly queuedHere = new Set<AttemptToken>();
  private uncount = () => {};

  constructor(
    private readonly tenant: string | undefined,
    private readonly countRun: RunCounter,
  ) {}

  /** Attempts that run, may have run, or are still queued at this node. */
  get attemptCount(): number {
    return this.attempts.size;
  }

  /** An attempt starts: queued here until it is handed over. */
  start(): AttemptToken {
    const token = {};
    this.queuedHere.add(token);
    this.attempts.add(token);
    if (this.tenant !== undefined && this.attempts.size === 1) this.uncount = this.countRun(this.tenant);
    return token;
  }

  /** An attempt was handed over, after which it may run, or was not accepted and is queued here again. */
  noteHandOver(token: AttemptToken, mayRun: boolean): void {
    if (mayRun) this.queuedHere.delete(token);
    else this.queuedHere.add(token);
  }

  /** An attempt has an outcome. One that was withdrawn may report afterwards that it has not run: it counts once. */
  noteEnded(token: AttemptToken, hasNotRun: boolean): void {
    this.queuedHere.delete(token);
    if (hasNotRun) this.discard(token);
  }

  /** Discards the attempts queued here, which their caller aborts before they can run. */
  withdrawQueued(): void {
    for (const token of this.queuedHere) this.discard(token);
    this.queuedHere.clear();
  }

  private discard(token: AttemptToken): void {
    if (this.attempts.delete(token) && this.attempts.size === 0) this.uncount();
  }
}
