/**
 * Repeats a conditional write until its outcome is known. A round reads the rows anew, so that it sees an
 * earlier write whose answer was lost; it returns `undefined` when a condition failed or the answer was lost.
 */
import { err, type Result } from 'neverthrow';
import { StateError } from '../../state-error.js';
import type { StateResult } from './row-table.js';

/** Time after which a caller may repeat the operation, milliseconds. Chosen, not measured. */
const RETRY_AFTER_MS = 1_000;

/** Result of one round; `undefined` to go into the next one. */
export type Attempt<T> = Promise<Result<T, StateError> | undefined>;

/** The first result of at most `maxRounds` rounds, else `unavailable`, effect unknown. */
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
