/**
 * Load and pace that a replica last reported with an answer, where it does. The requests of other nodes fade,
 * since their ends are not reported; an old pace does not count.
 */
import type { ReplicaLoad } from '../../../protocol/service/replica.js';

/** Half-life of reported requests, and largest age of a pace, milliseconds. Chosen, not measured. */
const MAX_AGE_MS = 250;
/** The pace of a replica whose work takes its usual time. */
const USUAL_PERCENT = 100;

export class ReportedLoad {
  private load: ReplicaLoad | undefined;
  private reportedAtMs = 0;
  /** Requests of other nodes at the time of the report. */
  private othersAtReport = 0;

  /** `inFlight` are this node's own requests, which the report contains. */
  record(load: ReplicaLoad, inFlight: number, nowMs: number): void {
    this.load = load;
    this.reportedAtMs = nowMs;
    this.othersAtReport = Math.max(0, load.running + load.waiting - inFlight);
  }

  /** Estimated requests of other nodes. */
  requestsOfOthers(nowMs: number): number {
    if (!this.load) return 0;
    return Math.round(this.othersAtReport * 2 ** (-(nowMs - this.reportedAtMs) / MAX_AGE_MS));
  }

  /** How many times the usual its work takes; 1 where that is not reported. */
  latencyRatio(nowMs: number): number {
    const percent = this.load?.serviceTimePercent;
    const isOld = nowMs - this.reportedAtMs > MAX_AGE_MS;
    return percent === undefined || isOld ? 1 : percent / USUAL_PERCENT;
  }
}
