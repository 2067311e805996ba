/** When a queue assigns its requests: after a change, and at a fixed period while requests are queued. */

/** Period of the check, milliseconds: the end of a back-off is no event. Chosen, not measured. */
export const RECHECK_INTERVAL_MS = 20;

export class AssignmentScheduler {
  private timer: NodeJS.Timeout | undefined;
  private isScheduled = false;

  /** `check` is called only from the event loop, never within a call of this object. */
  constructor(
    private readonly assign: () => void,
    private readonly hasQueued: () => boolean,
  ) {}

  /** Checks in this turn of the event loop, once however often this is called. */
  schedule(): void {
    if (this.isScheduled || !this.hasQueued()) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.assign();
    });
  }

  /** Checks once after `RECHECK_MS`, unless that is planned already. */
  armTimer(): void {
    if (this.timer || !this.hasQueued()) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.assign();
    }, RECHECK_INTERVAL_MS);
  }
}
