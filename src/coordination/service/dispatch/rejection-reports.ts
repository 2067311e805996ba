/** Log line and metric of a rejected request. */
import { monotonicMs } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { DispatchMessage } from '../../../protocol/service/dispatch-peer.js';
import type { Rejection } from '../../../state/service/admission/index.js';
import type { ServiceCapacity } from './dispatch-call.js';
import type { QueueEntry } from './queue-entry.js';

/** A rejection to report. `retryAfterMs` is 0 if there is no Retry-After. */
export interface RejectionReport extends Pick<Rejection, 'retryAfterMs'> {
  readonly entry: QueueEntry;
  readonly reason: string;
  readonly capacity: ServiceCapacity;
}

/** Dependencies of the reports. */
export interface RejectionReportServices {
  readonly metrics: Pick<ServiceMetrics, 'refusedRequests'>;
  readonly logger: DecisionLogger;
}

/** Logs and counts a call of another node that took `transitMs` to arrive and is not taken. */
export function reportLateCall(
  { metrics, logger }: RejectionReportServices,
  { id, service, party, rank, leftMs, jobId }: DispatchMessage,
  transitMs: number,
): void {
  metrics.refusedRequests.inc({ service, rank: String(rank) });
  logger.record({
    event: 'request-refused',
    requestId: id,
    jobId,
    service,
    party,
    rank,
    reason: `the call took ${Math.round(transitMs)} ms to this node`,
    waitedMs: 0,
    leftMs: Math.round(leftMs - transitMs),
    retryAfterMs: 0,
    waiting: 0,
    free: 0,
    slots: 0,
  });
}

/**
 * Logs and counts a rejection. The log keys `party` and `rank` are the flow and the priority of the request.
 */
export function reportRejection(
  { metrics, logger }: RejectionReportServices,
  service: string,
  { entry, reason, retryAfterMs, capacity }: RejectionReport,
): void {
  const { free, slots, waiting } = capacity;
  metrics.refusedRequests.inc({ service, rank: String(entry.priority) });
  logger.record({
    event: 'request-refused',
    requestId: entry.call.request.id,
    jobId: entry.call.jobId,
    service,
    party: entry.flow,
    rank: entry.priority,
    reason,
    waitedMs: Math.round(monotonicMs() - entry.sinceMs),
    leftMs: Math.round(entry.deadlineMs - monotonicMs()),
    retryAfterMs: Math.round(retryAfterMs),
    waiting,
    free,
    slots,
  });
}
