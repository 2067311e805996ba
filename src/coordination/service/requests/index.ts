export { QuarantineExchange } from './quarantine-exchange.js';
export { RequestQuarantine } from './request-quarantine.js';
export { type RelayedRequest, type RelayOutcome, type SendAttempt, ServiceRelay } from './service-relay.js';
