/**
 * Rejection of a request for which the router found no back end, alike for relayed requests and generations.
 */
import { CoordinationError } from '../coordination-error.js';
import type { NoRoute } from './router.js';

/** Retry-After when back ends are at capacity or failed, milliseconds. Chosen, not measured. */
export const AT_CAPACITY_RETRY_MS = 500;
/** Retry-After without an eligible back end, milliseconds. Chosen, not measured. */
const NO_BACKEND_RETRY_MS = 2_000;

/** The error for the caller. The request has not run. */
export function rejection(reason: NoRoute['reason'], message: string): CoordinationError {
  return reason === 'at-capacity'
    ? new CoordinationError('overloaded', 'no', message, AT_CAPACITY_RETRY_MS)
    : new CoordinationError('no-backend', 'no', message, NO_BACKEND_RETRY_MS);
}
