export type { DispatchCall, DispatchResult, UsedReplica } from './dispatch-call.js';
export { RemoteDispatch, toCall, toOutcomeMessage } from './home-dispatch.js';
export { ReplicaEndCheck } from './replica-end-check.js';
export { type AttemptOutcome, defectOf, ReplicaExchange, type WholeAnswer } from './replica-exchange.js';
export { digestOf, type IdentifiedRequest } from './request-digest.js';
export { ServiceQueues } from './service-queues.js';
