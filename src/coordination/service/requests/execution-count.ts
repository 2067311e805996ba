/** Tells whether a request may have run, and counts it for its tenant once, while any attempt may run. */

/** Counts a request of a tenant; call what it returns if the request turns out not to have run. */
export type RunCounter = (tenant: string) => () => void;

/** Identifies an attempt. */
export type AttemptToken = object;

/** The attempts of one request. */
export class ExecutionCount {
  private attempts = 0;
  private readonly queuedHere = new Set<AttemptToken>();
  private uncount = () => {};

  constructor(
    private readonly tenant: string | undefined,
    private readonly countRun: RunCounter,
  ) {}

  /** Attempts that run, may have run, or are still queued at this node. */
  get attemptCount(): number {
    return this.attempts;
  }

  /** An attempt starts: queued here until it is handed over. */
  start(): AttemptToken {
    const token = {};
    this.queuedHere.add(token);
    this.attempts += 1;
    if (this.tenant !== undefined && this.attempts === 1) this.uncount = this.countRun(this.tenant);
    return token;
  }

  /** An attempt was handed over, after which it may run, or was not accepted and is queued here again. */
  noteHandOver(token: AttemptToken, mayRun: boolean): void {
    if (mayRun) this.queuedHere.delete(token);
    else this.queuedHere.add(token);
  }

  /** An attempt has an outcome. */
  noteEnded(token: AttemptToken, hasNotRun: boolean): void {
    this.queuedHere.delete(token);
    if (hasNotRun) this.discard();
  }

  /** Discards the attempts queued here, which their caller aborts before they can run. */
  withdrawQueued(): void {
    for (const _ of this.queuedHere) this.discard();
    this.queuedHere.clear();
  }

  private discard(): void {
    this.attempts -= 1;
    if (this.attempts === 0) this.uncount();
  }
}
