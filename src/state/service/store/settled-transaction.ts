/**
 * Settles transactions whose answers may be lost. A transaction without an answer may have been executed, or
 * may be later as long as its conditions hold. It is therefore repeated unchanged until an answer shows its
 * outcome: the conditions let at most one of the repeats through, so each repeat is safe.
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

/** Back-off between repeats, doubled each time and spread by half. Chosen, not measured. */
const MIN_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 300;

/** How long and under what condition a transaction is repeated. */
export interface RetryOptions {
  /** Time on the monotonic clock at which the effort ends, milliseconds. */
  readonly deadlineMs: number;
  /**
   * Whether the records, as a failed condition shows them, prove that an earlier repeat of this transaction
   * was executed. Asked only when a repeat had no answer.
   */
  readonly isApplied: (current: readonly StoredRecord[]) => boolean;
  /** Ends the effort early. */
  readonly signal?: AbortSignal;
}

/** A transaction that was not executed because a condition did not hold. */
export class ConflictError extends StateError {
  constructor(readonly current: readonly StoredRecord[]) {
    super('conflict', 'none', 'another writer was first');
  }
}

/**
 * Resolves once the outcome is certain, or at the deadline, then with `unavailable` and whether the
 * transaction may have been executed. The version is 0 when the records alone prove the execution.
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

/** The outcome that a failed repeat makes certain; `undefined` when it must be repeated. */
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
