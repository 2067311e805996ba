export { CrashReportExchange } from './crash-report-exchange.js';
export type { ExecutionCounter } from './execution-tracker.js';
export type { SendAttempt } from './relay-run.js';
export type { RelayedRequest, RelayOutcome } from './relayed-request.js';
export { RequestQuarantine } from './request-quarantine.js';
export { ServiceRelay } from './service-relay.js';
