/**
 * Retries a conditional write until its outcome is known. Each attempt reads the rows again, so it finds an
 * earlier write whose response was lost.
 */
import { err, type Result } from 'neverthrow';
import { StateError } from '../../state-error.js';
import type { StateResult } from './row-table.js';

/** Delay suggested to the caller before it repeats the operation, milliseconds. */
const RETRY_AFTER_MS = 1_000;

/** `undefined` after a failed condition or a lost response, which leads to another attempt. */
export type Attempt<T> = Promise<Result<T, StateError> | undefined>;

/** Returns the first known result; after `maxAttempts`, the error `unavailable` with effect `unknown`. */
export async function settle<T>(
  maxAttempts: number,
  message: string,
  attempt: () => Attempt<T>,
): StateResult<T> {
  for (let count = 0; count < maxAttempts; count += 1) {
    const result = await attempt();
    if (result !== undefined) return result;
  }
  return err(new StateError('unavailable', 'unknown', message, RETRY_AFTER_MS));
}
