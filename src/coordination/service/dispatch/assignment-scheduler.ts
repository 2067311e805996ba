/**
 * Schedules the assignment of queued requests: after a change, and periodically while requests are queued.
 */

/** Period of the assignment, milliseconds. Needed because the end of a back-off emits no event. */
export const RECHECK_INTERVAL_MS = 20;

export class AssignmentScheduler {
  private timer: NodeJS.Timeout | undefined;
  private isScheduled = false;

  /** `assign` is always called asynchronously. */
  constructor(
    private readonly assign: () => void,
    private readonly hasQueued: () => boolean,
  ) {}

  /** Assigns in this turn of the event loop. Repeated calls are coalesced. */
  schedule(): void {
    if (this.isScheduled || !this.hasQueued()) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.assign();
    });
  }

  /** Assigns once after `RECHECK_INTERVAL_MS`, unless a timer is already set. */
  armTimer(): void {
    if (this.timer || !this.hasQueued()) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.assign();
    }, RECHECK_INTERVAL_MS);
  }
}
