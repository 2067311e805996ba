/**
 * Tracks the attempts of one request and counts the request once for its tenant while any attempt may run.
 */

/** Counts one execution for a tenant. The returned function reverts the count if the request did not run. */
export type ExecutionCounter = (tenant: string) => () => void;

/** Opaque identity of an attempt. */
export type AttemptToken = object;

export class ExecutionTracker {
  private readonly attempts = new Set<AttemptToken>();
  private readonly queuedLocally = new Set<AttemptToken>();
  private revertCount = () => {};

  constructor(
    private readonly tenant: string | undefined,
    private readonly countExecution: ExecutionCounter,
  ) {}

  /** Number of attempts that are queued locally, are running, or may have run. */
  get attemptCount(): number {
    return this.attempts.size;
  }

  /** Starts an attempt, which is queued locally until it is handed over. */
  start(): AttemptToken {
    const token = {};
    this.queuedLocally.add(token);
    this.attempts.add(token);
    if (this.tenant !== undefined && this.attempts.size === 1)
      this.revertCount = this.countExecution(this.tenant);
    return token;
  }

  /**
   * Records that an attempt was handed over to a replica or another node (`mayRun`), or that it was not
   * accepted there and is queued locally again.
   */
  recordHandOver(token: AttemptToken, mayRun: boolean): void {
    if (mayRun) this.queuedLocally.delete(token);
    else this.queuedLocally.add(token);
  }

  /** Records the outcome of an attempt. Safe to call for an attempt that was cancelled before. */
  recordOutcome(token: AttemptToken, isDeclined: boolean): void {
    this.queuedLocally.delete(token);
    if (isDeclined) this.discard(token);
  }

  /** Discards all locally queued attempts. The caller must abort them so that they cannot run. */
  cancelQueued(): void {
    for (const token of this.queuedLocally) this.discard(token);
    this.queuedLocally.clear();
  }

  private discard(token: AttemptToken): void {
    if (this.attempts.delete(token) && this.attempts.size === 0) this.revertCount();
  }
}
