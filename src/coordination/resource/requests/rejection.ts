/** Errors for requests and generations for which the router found no back end. */
import { CoordinationError } from '../coordination-error.js';
import type { NoRoute } from './router.js';

/** Retry-After if back ends are at capacity or have failed. */
export const AT_CAPACITY_RETRY_MS = 500;
/** Retry-After if no back end is eligible. */
const NO_BACKEND_RETRY_MS = 2_000;

export function rejection(reason: NoRoute['reason'], message: string): CoordinationError {
  return reason === 'at-capacity'
    ? new CoordinationError('overloaded', 'no', message, AT_CAPACITY_RETRY_MS)
    : new CoordinationError('no-backend', 'no', message, NO_BACKEND_RETRY_MS);
}
