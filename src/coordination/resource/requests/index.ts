export {
  ApplicationRelay,
  type ApplicationRequest,
  closeDelimitedError,
  endToEndHeaders,
  isSelfDelimited,
  REQUEST_ID_HEADER,
  type RelayedResponse,
  TIMEOUT_HEADER,
  writeRelayedHead,
} from './application-relay.js';
export { AT_CAPACITY_RETRY_MS, rejection } from './rejection.js';
export { isPastDeadline, type RequestContext, timeLeftMs } from './request-context.js';
export { isAllowedZone, isMachineLeaving, type RouteQuery, Router } from './router.js';
export { NODE_TRANSITIONS, type NodeEvent, type NodeState, WorkGate } from './work-gate.js';
