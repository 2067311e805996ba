/** The rules of a draw: which cursor may be drawn, and the transaction that hands samples out or discards them. */
import { sha256Hex } from '../../../common/identifier.js';
import type { DrawRequest } from '../../../protocol/resource/trainer.js';
import { StateError } from '../../state-error.js';
import type { Row, Transaction } from '../tables/index.js';
import {
  type CursorRow,
  type DeliveredRow,
  EXPIRED_LIMIT,
  ledgerKeys,
  type ReadySample,
  type RegenerateRow,
  type SlotRow,
} from './ledger-rows.js';

/** Who draws, and under which bound. */
export interface DrawTerms {
  readonly trainer: string;
  readonly models: readonly string[];
  readonly stalenessBound: number;
  readonly batchSize: number;
}

/** A sample that was not delivered. */
export interface DiscardedSample {
  readonly sample: ReadySample;
  readonly reason: 'too-old' | 'rollout-cancelled';
  readonly newest: number;
}

/** What a draw is decided on. */
export interface DrawState {
  readonly cursorRow: CursorRow | undefined;
  readonly cursorVersion: number;
  /** Newest known version of each model. */
  readonly newest: ReadonlyMap<string, number>;
  /** Conditions that keep the newest versions true. */
  readonly publishedConditions: Transaction['conditions'];
}

/** A sample that may be handed out. */
export interface Candidate {
  readonly sample: ReadySample;
  /** Row of the ready sample; absent for a sample of the batch that is redelivered. */
  readonly row?: Row;
}

/** What a draw hands out and what it discards. */
export interface Selection {
  readonly chosen: readonly Candidate[];
  readonly discarded: readonly (DiscardedSample & { readonly row?: Row })[];
  readonly rolloutConditions: Transaction['conditions'];
}

/** Before the first draw. */
export const NO_CURSOR: CursorRow = {
  cursor: 0,
  sequence: 0,
  attempt: 0,
  digest: '',
  samples: [],
  acknowledged: true,
  checkedAgainst: {},
};

/**
 * Checks that no later request has been handled, and that the cursor is the current one, or the next one with the
 * current batch acknowledged by its attempt and digest: a trainer that holds a void attempt must not acknowledge
 * the one that replaced it.
 */
export function cursorClash(row: CursorRow | undefined, request: DrawRequest): StateError | undefined {
  const current = row ?? NO_CURSOR;
  const { cursor, previous, sequence } = request;
  if (sequence < current.sequence) {
    const message = `request ${sequence} was overtaken by request ${current.sequence}`;
    return new StateError('conflict', 'none', message, undefined, {
      expected: sequence,
      current: current.sequence,
    });
  }
  const isHandedOut = current.samples.length > 0;
  if (cursor === current.cursor && !(current.acknowledged && isHandedOut)) return undefined;
  const isAcknowledged =
    current.acknowledged ||
    !isHandedOut ||
    (previous?.attempt === current.attempt && previous.digest === current.digest);
  if (cursor === current.cursor + 1 && isAcknowledged) return undefined;
  const expected = current.acknowledged ? current.cursor + 1 : current.cursor;
  const message =
    cursor === current.cursor + 1
      ? `batch ${current.cursor} is not acknowledged by its newest attempt (${current.attempt})`
      : `cursor ${cursor} cannot be drawn; the next one is ${expected}`;
  return new StateError('conflict', 'none', message, undefined, { expected: cursor, current: expected });
}

/** The cursor row of a new batch, or of a new attempt of the current one. */
export function nextCursorRow(
  before: CursorRow,
  { cursor, sequence }: DrawRequest,
  chosen: readonly Candidate[],
  newest: ReadonlyMap<string, number>,
): CursorRow {
  const samples = chosen.map((one) => one.sample);
  const attempt = before.cursor === cursor ? before.attempt + 1 : 1;
  const digest = sha256Hex(
    JSON.stringify([cursor, attempt, samples.map((one) => [one.sampleId, one.contentDigest])]),
  );
  return {
    cursor,
    sequence,
    attempt,
    digest,
    samples,
    acknowledged: false,
    checkedAgainst: Object.fromEntries(newest),
  };
}

function addDiscard(
  transaction: Transaction,
  terms: DrawTerms,
  one: DiscardedSample & { readonly row?: Row },
): void {
  const { sample, row, newest } = one;
  const { trainer } = terms;
  if (row) {
    transaction.conditions.push({ key: row.key, version: row.version });
    transaction.writes.push({ key: row.key, value: null });
  } else {
    transaction.writes.push({ key: ledgerKeys.delivered(trainer, sample.sampleId), value: null });
  }
  if (one.reason === 'rollout-cancelled') return;
  const slotKey = ledgerKeys.slot(trainer, sample.rolloutId, sample.slot);
  const generation = sample.generation + 1;
  const latest = {
    sampleId: sample.sampleId,
    oldest: sample.oldestVersion,
    newest,
    bound: terms.stalenessBound,
  };
  const expired = [...sample.expired, latest].slice(-EXPIRED_LIMIT);
  const slotRow: SlotRow = {
    state: 'regenerating',
    generation,
    sampleId: '',
    segments: [],
    decision: null,
    expired,
  };
  const task: RegenerateRow = {
    rolloutId: sample.rolloutId,
    slot: sample.slot,
    generation,
    slotVersion: sample.slotVersion + 1,
    expired,
  };
  transaction.conditions.push({ key: slotKey, version: sample.slotVersion });
  transaction.writes.push({ key: slotKey, value: slotRow });
  transaction.writes.push({
    key: ledgerKeys.regenerate(trainer, sample.shard, sample.rolloutId, sample.slot),
    value: task,
  });
}

/** The transaction that hands a selection out. */
export function drawTransaction(
  terms: DrawTerms,
  state: DrawState,
  selection: Selection,
  before: CursorRow,
  next: CursorRow,
): Transaction {
  const cursorKey = ledgerKeys.cursor(terms.trainer);
  const transaction: Transaction = {
    conditions: [
      { key: cursorKey, version: state.cursorVersion },
      ...state.publishedConditions,
      ...selection.rolloutConditions,
    ],
    writes: [],
  };
  // With nothing chosen the cursor row changes only when it gives up samples of a void attempt.
  if (selection.chosen.length > 0 || before.cursor === next.cursor) {
    transaction.writes.push({ key: cursorKey, value: next });
  }
  const delivered: DeliveredRow = { cursor: next.cursor };
  for (const { sample, row } of selection.chosen) {
    if (!row) continue;
    transaction.conditions.push({ key: row.key, version: row.version });
    transaction.writes.push({ key: row.key, value: null });
    transaction.writes.push({
      key: ledgerKeys.delivered(terms.trainer, sample.sampleId),
      value: delivered,
    });
  }
  for (const one of selection.discarded) addDiscard(transaction, terms, one);
  return transaction;
}
