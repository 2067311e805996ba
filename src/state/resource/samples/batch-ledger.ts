/**
 * Draws, redelivers and acknowledges batches. A cursor identifies one batch: drawing it again through any node
 * returns the same batch, and drawing the next cursor acknowledges it. The draw transaction is conditional on
 * the newest published versions, so that no delivered sample exceeds the staleness bound. If samples exceed it
 * before a redelivery, they are generated again and the cursor gets a new attempt without them.
 */
import { err, ok } from 'neverthrow';
import type { Batch, DrawRequest, Sample } from '../../../protocol/resource/trainer.js';
import { StateError } from '../../state-error.js';
import { publishedKey, publishedVersion } from '../configuration/index.js';
import {
  type Attempt,
  type Objects,
  type Row,
  type StateResult,
  settle,
  type Table,
} from '../tables/index.js';
import {
  type Candidate,
  cursorConflict,
  type DiscardedSample,
  type DrawOptions,
  type DrawState,
  drawTransaction,
  INITIAL_CURSOR,
  isFresh,
  nextCursorRow,
  type Selection,
  selectSamples,
} from './draw-rules.js';
import {
  type CursorRow,
  type DeliveredRow,
  ledgerKeys,
  type ReadySample,
  type RolloutRow,
  type SlotRow,
} from './ledger-rows.js';

/** `references` are the rows of the samples of the batch, in order. */
export interface DrawOutcome {
  readonly batch: Batch;
  readonly references: readonly ReadySample[];
  readonly discarded: readonly DiscardedSample[];
}

const MAX_ATTEMPTS = 12;
/**
 * A transaction has at most 100 entries. A delivered sample takes three; the rest is for the cursor, the
 * published versions and the rollouts.
 */
const MAX_SAMPLES_DRAWN = 28;
/** Ready rows read for each requested sample, to allow for discarded ones. */
const READY_ROWS_PER_SAMPLE = 2;

export class BatchLedger {
  constructor(
    private readonly table: Table,
    private readonly objects: Objects,
  ) {}

  /** Draws a batch. If no sample is ready, returns an empty batch and does not advance the cursor. */
  async draw(terms: DrawOptions, request: DrawRequest): StateResult<DrawOutcome> {
    const discarded: DiscardedSample[] = [];
    return settle(MAX_ATTEMPTS, 'batch draw was not confirmed by the store', () =>
      this.tryDraw(terms, request, discarded),
    );
  }

  /** One attempt; adds the discarded samples to `discarded`. Returns `undefined` to retry. */
  private async tryDraw(
    terms: DrawOptions,
    request: DrawRequest,
    discarded: DiscardedSample[],
  ): Attempt<DrawOutcome> {
    const state = await this.readState(terms, request);
    if (state.isErr()) return err(state.error);
    const conflict = cursorConflict(state.value.cursorRow, request);
    if (conflict) return err(conflict);
    const step = await this.writeDraw(terms, request, state.value);
    if (step.isErr()) return step.error.effect === 'none' ? err(step.error) : undefined;
    if (step.value === undefined) return undefined;
    discarded.push(...step.value.discarded);
    const { row } = step.value;
    const batch = await this.assembleBatch(terms, request, row);
    if (batch.isErr()) return err(batch.error);
    return batch.value && ok({ batch: batch.value, references: row.samples, discarded });
  }

  /** Acknowledges a batch; idempotent. Error `conflict`: it is not the current batch. */
  async acknowledge(trainer: string, cursor: number, attempt: number, digest: string): StateResult<void> {
    return settle(MAX_ATTEMPTS, 'batch acknowledgement was not confirmed by the store', () =>
      this.tryAcknowledge(ledgerKeys.cursor(trainer), { cursor, attempt, digest }),
    );
  }

  private async tryAcknowledge(
    key: string,
    batch: Pick<CursorRow, 'cursor' | 'attempt' | 'digest'>,
  ): Attempt<void> {
    const rows = await this.table.read([key]);
    if (rows.isErr()) return err(rows.error);
    const stored = rows.value[0];
    const row = (stored?.value as CursorRow | undefined) ?? INITIAL_CURSOR;
    if (row.cursor > batch.cursor) return ok(undefined);
    if (!stored || !isSameBatch(row, batch)) {
      const message = `cursor ${batch.cursor} attempt ${batch.attempt} is not the batch that was handed out`;
      const versions = { expected: batch.cursor, current: row.cursor };
      return err(new StateError('conflict', 'none', message, undefined, versions));
    }
    if (row.acknowledged) return ok(undefined);
    const value: CursorRow = { ...row, acknowledged: true };
    const written = await this.table.transact({
      conditions: [{ key, version: stored.version }],
      writes: [{ key, value }],
    });
    return written.isOk() && written.value.committed ? ok(undefined) : undefined;
  }

  /** The slot row and delivery of a sample, for `explain`. */
  async find(trainer: string, rolloutId: string, slot: number, sampleId: string) {
    const slotKey = ledgerKeys.slot(trainer, rolloutId, slot);
    const deliveredKey = ledgerKeys.delivered(trainer, sampleId);
    const rows = await this.table.read([slotKey, deliveredKey]);
    return rows.map((found) => {
      const byKey = new Map(found.map((row) => [row.key, row.value]));
      return {
        slot: byKey.get(slotKey) as SlotRow | undefined,
        delivered: byKey.get(deliveredKey) as DeliveredRow | undefined,
      };
    });
  }

  private async readState(terms: DrawOptions, request: DrawRequest): StateResult<DrawState> {
    const cursorKey = ledgerKeys.cursor(terms.trainer);
    const rows = await this.table.read([cursorKey, ...terms.models.map(publishedKey)]);
    return rows.map((found) => {
      const byKey = new Map(found.map((row) => [row.key, row]));
      const cursor = byKey.get(cursorKey);
      const publishedRows = terms.models.map((model) => [model, byKey.get(publishedKey(model))] as const);
      return {
        cursorRow: cursor?.value as CursorRow | undefined,
        cursorVersion: cursor?.version ?? 0,
        newest: new Map(
          publishedRows.map(([model, row]) => [
            model,
            Math.max(publishedVersion(row), request.versions[model] ?? 0),
          ]),
        ),
        publishedConditions: publishedRows.map(([model, row]) => ({
          key: publishedKey(model),
          version: row?.version ?? 0,
        })),
      };
    });
  }

  /** Selects and commits a batch; returns `undefined` if a condition of the transaction failed. */
  private async writeDraw(terms: DrawOptions, request: DrawRequest, state: DrawState) {
    const row = state.cursorRow ?? INITIAL_CURSOR;
    const redelivered = row.cursor === request.cursor ? row.samples : [];
    const areFresh = redelivered.every((sample) => isFresh(terms, state, sample));
    if (redelivered.length > 0 && areFresh) return this.redeliver(terms, request, state, row);
    const selection = await this.select(terms, request, state, redelivered);
    if (selection.isErr()) return err(selection.error);
    const { chosen, discarded } = selection.value;
    const next = nextCursorRow(row, request, chosen, state.newest);
    if (chosen.length === 0 && discarded.length === 0) return ok({ row: next, discarded });
    const transaction = drawTransaction(terms, state, selection.value, row, next);
    const written = await this.table.transact(transaction);
    if (written.isErr()) return err(written.error);
    return ok(written.value.committed ? { row: next, discarded } : undefined);
  }

  /** Redelivers a batch and stores the sequence of the request, so that earlier requests are rejected. */
  private async redeliver(terms: DrawOptions, request: DrawRequest, state: DrawState, row: CursorRow) {
    if (row.sequence === request.sequence) return ok({ row, discarded: [] });
    const key = ledgerKeys.cursor(terms.trainer);
    const next: CursorRow = { ...row, sequence: request.sequence };
    const written = await this.table.transact({
      conditions: [{ key, version: state.cursorVersion }, ...state.publishedConditions],
      writes: [{ key, value: next }],
    });
    if (written.isErr()) return err(written.error);
    return ok(written.value.committed ? { row: next, discarded: [] } : undefined);
  }

  /** Selects the fresh samples of the previous attempt first, then ready ones. */
  private async select(
    terms: DrawOptions,
    request: DrawRequest,
    state: DrawState,
    redelivered: readonly ReadySample[],
  ): StateResult<Selection> {
    const wanted = Math.min(request.maxSamples ?? terms.batchSize, terms.batchSize, MAX_SAMPLES_DRAWN);
    const ready = await this.table.scan(
      ledgerKeys.readyOfTrainer(terms.trainer),
      READY_ROWS_PER_SAMPLE * wanted,
    );
    if (ready.isErr()) return err(ready.error);
    const candidates: Candidate[] = [
      ...redelivered.map((sample) => ({ sample })),
      ...ready.value.map((row) => ({ sample: row.value as ReadySample, row })),
    ];
    const rollouts = await this.readRollouts(terms.trainer, candidates);
    if (rollouts.isErr()) return err(rollouts.error);
    const { open, conditions } = rollouts.value;
    const selected = selectSamples(terms, state, candidates, (id) => open.has(id), wanted);
    return ok({ ...selected, rolloutConditions: conditions });
  }

  private async readRollouts(trainer: string, candidates: readonly Candidate[]) {
    const ids = [...new Set(candidates.map((one) => one.sample.rolloutId))];
    const rows = await this.table.read(ids.map((id) => ledgerKeys.rollout(trainer, id)));
    return rows.map((found) => {
      const isOpen = (row: Row) => (row.value as RolloutRow | undefined)?.state === 'open';
      const openKeys = new Set(found.filter(isOpen).map((row) => row.key));
      return {
        open: new Set(ids.filter((id) => openKeys.has(ledgerKeys.rollout(trainer, id)))),
        conditions: found.map((row) => ({ key: row.key, version: row.version })),
      };
    });
  }

  /** Reads the content of the samples; returns `undefined` if one exceeds the staleness bound by then. */
  private async assembleBatch(
    terms: DrawOptions,
    request: DrawRequest,
    row: CursorRow,
  ): StateResult<Batch | undefined> {
    const samples = await this.readSamples(row.samples);
    if (samples.isErr()) return err(samples.error);
    const state = await this.readState(terms, request);
    if (state.isErr()) return err(state.error);
    if (!row.samples.every((sample) => isFresh(terms, state.value, sample))) return ok(undefined);
    return ok({
      cursor: row.cursor,
      attempt: row.attempt,
      digest: row.digest,
      checkedAgainst: Object.fromEntries(state.value.newest),
      samples: samples.value,
    });
  }

  private async readSamples(references: readonly ReadySample[]): StateResult<Sample[]> {
    const names = [...new Set(references.map((one) => one.object))];
    const objects = await Promise.all(names.map((name) => this.objects.get(name)));
    const contents = new Map<string, Sample[]>();
    for (const [index, bytes] of objects.entries()) {
      if (bytes.isErr()) return err(bytes.error);
      if (!bytes.value)
        return err(new StateError('unavailable', 'unknown', `sample object ${names[index]} not found`));
      contents.set(names[index] as string, JSON.parse(bytes.value.toString('utf8')) as Sample[]);
    }
    return ok(references.flatMap((one) => contents.get(one.object)?.[one.position] ?? []));
  }
}

function isSameBatch(row: CursorRow, batch: Pick<CursorRow, 'cursor' | 'attempt' | 'digest'>): boolean {
  return row.cursor === batch.cursor && row.attempt === batch.attempt && row.digest === batch.digest;
}
