/**
 * Transactions whose answers may be lost. A transaction without an answer may have been done, or may be done later as
 * long as its conditions hold. It is therefore repeated unchanged until an answer tells which: the conditions make
 * sure that only one of the repeats is carried out.
 */
import { err, ok, type Result } from 'neverthrow';
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { RecordStore, RecordTransaction, StoredRecord } from '../../../protocol/record-store.js';
import { StateError } from '../../state-error.js';

const FIRST_PAUSE_MS = 20;
const LONGEST_PAUSE_MS = 300;

/** How long and under what condition a transaction is repeated. */
export interface SettlementOptions {
  /** Time on the monotonic clock at which the effort ends, milliseconds. */
  readonly deadlineMs: number;
  /**
   * Whether the records, as a failed condition shows them, prove that an earlier repeat of this transaction was
   * carried out. Only asked when a repeat was left without an answer.
   */
  readonly isApplied: (current: readonly StoredRecord[]) => boolean;
  /** Ends the effort early. */
  readonly signal?: AbortSignal;
}

/** A transaction that was not carried out because a condition did not hold. */
export class ConflictError extends StateError {
  constructor(readonly current: readonly StoredRecord[]) {
    super('conflict', 'none', 'another writer was first');
  }
}

/** Resolves once the outcome is certain, or at the deadline. The version is 0 when it was learnt indirectly. */
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
    const { failure, effect, current, message } = outcome.error;
    if (failure === 'conflict') {
      if (mayBeDone && options.isApplied(current)) return ok(0);
      return err(new ConflictError(current));
    }
    if (failure === 'refused') return err(new StateError('invalid', mayBeDone ? 'unknown' : 'none', message));
    mayBeDone ||= effect === 'unknown';
    if (monotonicMs() + pauseMs > options.deadlineMs || options.signal?.aborted)
      return err(new StateError('unavailable', mayBeDone ? 'unknown' : 'none', message));
    await sleep(pauseMs * (0.5 + Math.random()), options.signal);
    pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
  }
}
