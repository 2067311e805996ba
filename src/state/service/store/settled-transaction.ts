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
const FIRST_PAUSE_MS = 20;
const LONGEST_PAUSE_MS = 300;

/** How long and under what condition a transaction is repeated. */
export interface SettlementOptions {
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
export async function settle(
  store: RecordStore,
  transaction: RecordTransaction,
  options: SettlementOptions,
): Promise<Result<number, StateError>> {
  let mayBeDone = false;
  let pauseMs = FIRST_PAUSE_MS;
  for (;;) {
    const outcome = await store.transact(transaction);
    if (outcome.isOk()) return ok(outcome.value);
    const { error } = outcome;
    const settled = settledBy(error, mayBeDone, options);
    if (settled) return settled;
    mayBeDone ||= error.effect === 'unknown';
    if (monotonicMs() + pauseMs > options.deadlineMs || options.signal?.aborted)
      return err(new StateError('unavailable', effectOf(mayBeDone), error.message));
    await sleep(pauseMs * (0.5 + Math.random()), options.signal);
    pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
  }
}

/** The outcome that a failed repeat makes certain; `undefined` when it must be repeated. */
function settledBy(
  { failure, current, message }: RecordStoreError,
  mayBeDone: boolean,
  { isApplied }: SettlementOptions,
): Result<number, StateError> | undefined {
  if (failure === 'refused') return err(new StateError('invalid', effectOf(mayBeDone), message));
  if (failure !== 'conflict') return undefined;
  return mayBeDone && isApplied(current) ? ok(0) : err(new ConflictError(current));
}

function effectOf(mayBeDone: boolean): 'unknown' | 'none' {
  return mayBeDone ? 'unknown' : 'none';
}
