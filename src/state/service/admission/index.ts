export {
  type AdmissionDecision,
  admit,
  isDeadlineUnreachable,
  mayHedge,
  mayRequeue,
  type Rejection,
  type RejectionReason,
  rejectionText,
  retryAfterMs,
} from './admission.js';
export { FairQueue, type QueuedRequest, type QueueLimits } from './fair-queue.js';
export { FlowUsage } from './flow-usage.js';
export { RetryBudget } from './retry-budget.js';
export { type RunningRequest, slotWaitMs } from './slot-wait.js';
