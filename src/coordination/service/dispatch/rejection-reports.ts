/** Log line and metric of a rejected request. */
import { monotonicMs } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { Rejection } from '../../../state/service/admission/index.js';
import type { ServiceCapacity } from './dispatch-call.js';
import type { QueueEntry } from './queue-entry.js';

/** A rejection to report. `retryAfterMs` is 0 if there is no Retry-After. */
export interface RejectionReport extends Pick<Rejection, 'retryAfterMs'> {
  readonly entry: QueueEntry;
  readonly reason: string;
  readonly capacity: ServiceCapacity;
}

/**
 * Logs and counts a rejection. The log keys `party` and `rank` are the flow and the priority of the request.
 */
export function reportRejection(
  { metrics, logger }: { metrics: Pick<ServiceMetrics, 'refusedRequests'>; logger: DecisionLogger },
  service: string,
  { entry, reason, retryAfterMs, capacity }: RejectionReport,
): void {
  const { free, slots, waiting } = capacity;
  metrics.refusedRequests.inc({ service, rank: String(entry.priority) });
  logger.record({
    event: 'request-refused',
    requestId: entry.call.request.id,
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
