/** Tells whether a request may have run, and counts it for its tenant once, while any attempt may run. */

/** Counts a request of a tenant; call what it returns if the request turns out not to have run. */
export type ExecutionCounter = (tenant: string) => () => void;

/** Identifies an attempt. */
export type AttemptToken = object;

/** The attempts of one request. */
export class ExecutionTracker {
  private readonly attempts = new Set<AttemptToken>();
  private readonly queuedLocally = new Set<AttemptToken>();
  private revertCount = () => {};

  constructor(
    private readonly tenant: string | undefined,
    private readonly countExecution: ExecutionCounter,
  ) {}

  /** Attempts that run, may have run, or are still queued at this node. */
  get attemptCount(): number {
    return this.attempts.size;
  }

  /** An attempt starts: queued here until it is handed over. */
  start(): AttemptToken {
    const token = {};
    this.queuedLocally.add(token);
    this.attempts.add(token);
    if (this.tenant !== undefined && this.attempts.size === 1)
      this.revertCount = this.countExecution(this.tenant);
    return token;
  }

  /** An attempt was handed over, after which it may run, or was not accepted and is queued here again. */
  recordHandOver(token: AttemptToken, mayRun: boolean): void {
    if (mayRun) this.queuedLocally.delete(token);
    else this.queuedLocally.add(token);
  }

  /** An attempt has an outcome. One that was withdrawn may report afterwards that it has not run: it counts once. */
  recordOutcome(token: AttemptToken, isDeclined: boolean): void {
    this.queuedLocally.delete(token);
    if (isDeclined) this.discard(token);
  }

  /** Discards the attempts queued here, which their caller aborts before they can run. */
  cancelQueued(): void {
    for (const token of this.queuedLocally) this.discard(token);
    this.queuedLocally.clear();
  }

  private discard(token: AttemptToken): void {
    if (this.attempts.delete(token) && this.attempts.size === 0) this.revertCount();
  }
}
