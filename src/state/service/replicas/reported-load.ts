/**
 * Load that a replica last reported with an answer. The estimate of other nodes' requests decays, since their
 * completion is not reported, and an outdated latency ratio is ignored.
 */
import type { ReplicaLoad } from '../../../protocol/service/replica.js';

/** Half-life of reported requests and maximum age of a reported latency ratio, milliseconds. */
const MAX_AGE_MS = 250;
/** Value of `serviceTimePercent` when requests take their usual time. */
const USUAL_PERCENT = 100;

export class ReportedLoad {
  private load: ReplicaLoad | undefined;
  private reportedAtMs = 0;
  /** Requests of other nodes as of the last report. */
  private othersAtReport = 0;

  /** Records a report. `inFlight` are this node's own requests, which the report includes. */
  record(load: ReplicaLoad, inFlight: number, nowMs: number): void {
    this.load = load;
    this.reportedAtMs = nowMs;
    this.othersAtReport = Math.max(0, load.running + load.waiting - inFlight);
  }

  /** Estimated number of requests of other nodes. */
  requestsOfOthers(nowMs: number): number {
    if (!this.load) return 0;
    return Math.round(this.othersAtReport * 2 ** (-(nowMs - this.reportedAtMs) / MAX_AGE_MS));
  }

  /** Service time relative to the usual one; 1 if not reported recently. */
  latencyRatio(nowMs: number): number {
    const percent = this.load?.serviceTimePercent;
    const isOld = nowMs - this.reportedAtMs > MAX_AGE_MS;
    return percent === undefined || isOld ? 1 : percent / USUAL_PERCENT;
  }
}
