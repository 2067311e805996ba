/** Logs when a resource that callers share becomes short and when it no longer is; refusals themselves are only counted. */
import type { DecisionLogger } from '../../common/decision-logger.js';

/** Checks without a further refusal after which a shortage is over. */
const QUIET_CHECKS = 10;

export class ShortageReports {
  private count = 0;
  private countBefore = 0;
  private quietChecks = QUIET_CHECKS;

  /** `resource` is named in the log; `refusedCount` is the total of refusals so far. */
  constructor(
    private readonly resource: string,
    private readonly refusedCount: () => number,
    private readonly logger: DecisionLogger,
  ) {}

  /** Must be called periodically. */
  check(): void {
    const count = this.refusedCount();
    const isRefusing = count > this.count;
    this.count = count;
    if (isRefusing && !this.isShort) this.report(`${this.resource} are short`);
    this.quietChecks = isRefusing ? 0 : this.quietChecks + 1;
    if (this.quietChecks === QUIET_CHECKS) this.report(`${this.resource} are no longer short`);
  }

  private get isShort(): boolean {
    return this.quietChecks < QUIET_CHECKS;
  }

  private report(change: string): void {
    const detail = `${this.count - this.countBefore} refused since the last change`;
    this.logger.record({ event: 'process-changed', change, detail });
    this.countBefore = this.count;
  }
}
