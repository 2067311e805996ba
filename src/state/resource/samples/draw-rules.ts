/**
 * Rules of a draw, pure: which cursor may be drawn, which samples are chosen or discarded, and the
 * transaction that delivers them. `batch-ledger.ts` reads the inputs and commits the result.
 */
import { sha256Hex } from '../../../common/identifier.js';
import type { DrawRequest } from '../../../protocol/resource/trainer.js';
import { StateError } from '../../state-error.js';
import type { Row, Transaction } from '../tables/index.js';
import {
  type CursorRow,
  type DeliveredRow,
  isWithinBound,
  ledgerKeys,
  MAX_EXPIRED_SAMPLES,
  type ReadySample,
  type RegenerateRow,
  type SlotRow,
} from './ledger-rows.js';

/** Who draws, and under which limits. `stalenessBound` is in versions, `batchSize` in samples. */
export interface DrawOptions {
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

/** Stored inputs of a draw. */
export interface DrawState {
  readonly cursorRow: CursorRow | undefined;
  readonly cursorVersion: number;
  /** Newest known version of each model. */
  readonly newest: ReadonlyMap<string, number>;
  /** Conditions that keep the newest versions true. */
  readonly publishedConditions: Transaction['conditions'];
}

/** A sample that may be delivered. */
export interface Candidate {
  readonly sample: ReadySample;
  /** Row of the ready sample; absent for a sample of the attempt that is replaced. */
  readonly row?: Row;
}

/** What a draw delivers and what it discards. */
export interface Selection {
  readonly chosen: readonly Candidate[];
  readonly discarded: readonly (DiscardedSample & { readonly row?: Row })[];
  readonly rolloutConditions: Transaction['conditions'];
}

/** The cursor row before the first draw. */
export const INITIAL_CURSOR: CursorRow = {
  cursor: 0,
  sequence: 0,
  attempt: 0,
  digest: '',
  samples: [],
  acknowledged: true,
  checkedAgainst: {},
};

/**
 * Checks that no later request has been handled, and that the cursor is the current one, or the next one with
 * the current batch acknowledged by its attempt and digest: a trainer that holds a void attempt must not
 * acknowledge the one that replaced it.
 */
export function cursorConflict(row: CursorRow | undefined, request: DrawRequest): StateError | undefined {
  const current = row ?? INITIAL_CURSOR;
  const { cursor, sequence } = request;
  if (sequence < current.sequence) {
    const message = `request ${sequence} was overtaken by request ${current.sequence}`;
    return conflict(message, sequence, current.sequence);
  }
  const isNext = cursor === current.cursor + 1;
  if (isNext ? mayAdvance(current, request) : cursor === current.cursor && !isFinished(current))
    return undefined;
  const expected = current.acknowledged ? current.cursor + 1 : current.cursor;
  const message = isNext
    ? `batch ${current.cursor} is not acknowledged by its newest attempt (${current.attempt})`
    : `cursor ${cursor} cannot be drawn; the next one is ${expected}`;
  return conflict(message, cursor, expected);
}

function conflict(message: string, expected: number, current: number): StateError {
  return new StateError('conflict', 'none', message, undefined, { expected, current });
}

/** Whether the batch was delivered and acknowledged. */
function isFinished(current: CursorRow): boolean {
  return current.acknowledged && current.samples.length > 0;
}

/** Whether the next cursor may be drawn: the batch is empty, or acknowledged before or hereby. */
function mayAdvance(current: CursorRow, { previous }: DrawRequest): boolean {
  if (current.acknowledged || current.samples.length === 0) return true;
  return previous?.attempt === current.attempt && previous.digest === current.digest;
}

/** Whether a sample is within the staleness bound of its model's newest known version. */
export function isFresh(terms: DrawOptions, state: DrawState, sample: ReadySample): boolean {
  return isWithinBound(sample.oldestVersion, state.newest.get(sample.model) ?? 0, terms.stalenessBound);
}

/**
 * Chooses up to `wanted` samples in the order of the candidates; discards those that are too old or of a
 * rollout that is not open. Candidates beyond `wanted` stay ready.
 */
export function selectSamples(
  terms: DrawOptions,
  state: DrawState,
  candidates: readonly Candidate[],
  isOpen: (rolloutId: string) => boolean,
  wanted: number,
): Omit<Selection, 'rolloutConditions'> {
  const chosen: Candidate[] = [];
  const discarded: (DiscardedSample & { row?: Row })[] = [];
  for (const candidate of candidates) {
    const { sample, row } = candidate;
    const newest = state.newest.get(sample.model) ?? 0;
    if (!isOpen(sample.rolloutId)) discarded.push({ sample, row, newest, reason: 'rollout-cancelled' });
    else if (!isFresh(terms, state, sample)) discarded.push({ sample, row, newest, reason: 'too-old' });
    else if (chosen.length < wanted) chosen.push(candidate);
  }
  return { chosen, discarded };
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
  terms: DrawOptions,
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
  const expired = [...sample.expired, latest].slice(-MAX_EXPIRED_SAMPLES);
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

/** The transaction that delivers a selection. */
export function drawTransaction(
  terms: DrawOptions,
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
  // With nothing chosen the cursor row changes only when it drops the samples of a void attempt.
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
