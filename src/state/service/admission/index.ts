export { type Admission, type AdmissionTerms, admit, retryAfterMs } from './admission.js';
export { RetryBudget } from './extra-attempts.js';
export { FlowUsage } from './party-use.js';
export { type ReplicaUse, type RunningRequest, slotWaitMs } from './slot-wait.js';
export { type Waiting, type WaitingBounds, WaitingList } from './waiting-list.js';
