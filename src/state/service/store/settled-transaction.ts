/**
 * Retries transactions whose answers may be lost. A transaction without an answer may have been executed, or
 * may still be executed later; it is repeated unchanged until an answer shows its outcome. Repeats are safe,
 * since the conditions hold for at most one of them.
 */
import { err, ok, type Result } from 'neverthrow';
import { monotonicMs, sleep } from '../../../common/clock.js';
import type {
  RecordStore,
  RecordStoreError,
  RecordTransaction,
  StoredRecord,
} from '../../../protocol/record-store.js';
import { StateError } from '../../state-error.js';

/** Exponential back-off with jitter. */
const MIN_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 300;

export interface RetryOptions {
  /** No attempt starts after this time on the monotonic clock, milliseconds. */
  readonly deadlineMs: number;
  /**
   * Whether the current records prove that an earlier attempt was executed. Called after a failed condition
   * if an earlier attempt had no answer.
   */
  readonly isApplied: (current: readonly StoredRecord[]) => boolean;
  /** Stops further attempts. */
  readonly signal?: AbortSignal;
}

/** A transaction that was not executed because a condition did not hold. */
export class ConflictError extends StateError {
  constructor(readonly current: readonly StoredRecord[]) {
    super('conflict', 'none', 'a concurrent transaction changed the records first');
  }
}

/**
 * Resolves to the version of the transaction, or 0 if only the records prove its execution. At the deadline
 * fails with `unavailable`; the effect tells whether the transaction may have been executed.
 */
export async function transactWithRetry(
  store: RecordStore,
  transaction: RecordTransaction,
  options: RetryOptions,
): Promise<Result<number, StateError>> {
  let mayBeExecuted = false;
  let backoffMs = MIN_BACKOFF_MS;
  for (;;) {
    const outcome = await store.transact(transaction);
    if (outcome.isOk()) return ok(outcome.value);
    const { error } = outcome;
    const finalOutcome = finalOutcomeOf(error, mayBeExecuted, options);
    if (finalOutcome) return finalOutcome;
    mayBeExecuted ||= error.effect === 'unknown';
    if (monotonicMs() + backoffMs > options.deadlineMs || options.signal?.aborted)
      return err(new StateError('unavailable', effectOf(mayBeExecuted), error.message));
    await sleep(backoffMs * (0.5 + Math.random()), options.signal);
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
  }
}

/** The final outcome after a failed attempt; `undefined` if the transaction must be repeated. */
function finalOutcomeOf(
  { failure, current, message }: RecordStoreError,
  mayBeExecuted: boolean,
  { isApplied }: RetryOptions,
): Result<number, StateError> | undefined {
  if (failure === 'refused') return err(new StateError('invalid', effectOf(mayBeExecuted), message));
  if (failure !== 'conflict') return undefined;
  return mayBeExecuted && isApplied(current) ? ok(0) : err(new ConflictError(current));
}

function effectOf(mayBeExecuted: boolean): 'unknown' | 'none' {
  return mayBeExecuted ? 'unknown' : 'none';
}
