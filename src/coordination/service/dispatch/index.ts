export { CrashCheck } from './crash-check.js';
export type { DispatchCall, DispatchResult, UsedReplica } from './dispatch-call.js';
export { RemoteDispatch, toCall, toOutcomeMessage } from './remote-dispatch.js';
export { type BufferedAnswer, defectOf, ReplicaExchange } from './replica-exchange.js';
export { digestOf, type IdentifiedRequest } from './request-digest.js';
export { ServiceQueues } from './service-queues.js';
