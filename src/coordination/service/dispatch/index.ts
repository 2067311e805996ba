export { CrashCheck } from './crash-check.js';
export type { AttemptedReplica, DispatchCall, DispatchResult } from './dispatch-call.js';
export { toCall, toOutcomeMessage } from './dispatch-messages.js';
export type { PeerCall } from './dispatcher-client.js';
export { reportLateCall } from './rejection-reports.js';
export { RemoteDispatch } from './remote-dispatch.js';
export {
  type AttemptOutcome,
  answerDefect,
  type BufferedAnswer,
  ReplicaExchange,
} from './replica-exchange.js';
export { digestOf, type IdentifiedRequest } from './request-digest.js';
export { ServiceQueues } from './service-queues.js';
export { isLate, transitMsOf } from './transit.js';
