/**
 * Pure functions for drawing a batch: cursor validation, sample selection, and the transaction that marks the
 * selected samples as delivered. `batch-ledger.ts` reads the inputs and commits the result.
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

/** Parameters of a trainer. `stalenessBound` is in weight versions, `batchSize` in samples. */
export interface DrawOptions {
  readonly trainer: string;
  readonly models: readonly string[];
  readonly stalenessBound: number;
  readonly batchSize: number;
}

/** A sample that is discarded; `newest` is the newest known version of its model. */
export interface DiscardedSample {
  readonly sample: ReadySample;
  readonly reason: 'too-old' | 'rollout-cancelled';
  readonly newest: number;
}

/** Stored state that a draw is based on. */
export interface DrawState {
  readonly cursorRow: CursorRow | undefined;
  readonly cursorVersion: number;
  /** Newest known version of each model. */
  readonly newest: ReadonlyMap<string, number>;
  /** Conditions that fail the transaction if a newer version has been published since the read. */
  readonly publishedConditions: Transaction['conditions'];
}

export interface Candidate {
  readonly sample: ReadySample;
  /** Row of the ready sample; absent for a sample of the previous attempt of the same cursor. */
  readonly row?: Row;
}

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
 * Returns an error if a later request has been handled, or if the cursor is neither the current one nor the
 * next one. The next cursor requires an acknowledgement of the current batch by attempt and digest, so that a
 * trainer holding a superseded attempt cannot acknowledge its replacement.
 */
export function cursorConflict(row: CursorRow | undefined, request: DrawRequest): StateError | undefined {
  const current = row ?? INITIAL_CURSOR;
  const { cursor, sequence } = request;
  if (sequence < current.sequence) {
    const message = `request sequence ${sequence} is older than the last handled sequence ${current.sequence}`;
    return conflict(message, sequence, current.sequence);
  }
  const isNext = cursor === current.cursor + 1;
  if (isNext ? mayAdvance(current, request) : cursor === current.cursor && !isFinished(current))
    return undefined;
  const expected = current.acknowledged ? current.cursor + 1 : current.cursor;
  const message = isNext
    ? `batch ${current.cursor} has not been acknowledged with its current attempt ${current.attempt}`
    : `cursor ${cursor} cannot be drawn; expected cursor ${expected}`;
  return conflict(message, cursor, expected);
}

function conflict(message: string, expected: number, current: number): StateError {
  return new StateError('conflict', 'none', message, undefined, { expected, current });
}

function isFinished(current: CursorRow): boolean {
  return current.acknowledged && current.samples.length > 0;
}

/** Whether the next cursor may be drawn: the current batch is empty or acknowledged, possibly by this request. */
function mayAdvance(current: CursorRow, { previous }: DrawRequest): boolean {
  if (current.acknowledged || current.samples.length === 0) return true;
  return previous?.attempt === current.attempt && previous.digest === current.digest;
}

/** Whether a sample is within the staleness bound. */
export function isFresh(terms: DrawOptions, state: DrawState, sample: ReadySample): boolean {
  return isWithinBound(sample.oldestVersion, state.newest.get(sample.model) ?? 0, terms.stalenessBound);
}

/**
 * Selects up to `wanted` samples in candidate order and discards samples that are too old or whose rollout is
 * not open. The remaining candidates stay ready.
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

/** Builds the cursor row of a new batch, or of a new attempt of the current batch. */
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
  // An empty selection writes the cursor row only to remove the samples of a superseded attempt.
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
