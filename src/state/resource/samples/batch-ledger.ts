/**
 * Delivery side of the sample ledger. A cursor identifies one batch: drawing it again, through any node,
 * returns the same batch, and drawing the next cursor acknowledges it. The staleness bound is checked in the
 * transaction that delivers, which is conditional on the rows with the newest published versions. When
 * samples of a batch became too old before a redelivery, the whole attempt is void: they are generated again,
 * and the cursor gets a new attempt without them.
 *
 * Owns no state; relies on the table (rows of `ledger-rows.ts`) and on the objects with the samples' content.
 * A draw whose outcome stays unknown for `MAX_ROUNDS` rounds fails as `unavailable`; repeating it with the
 * same cursor is safe.
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
  cursorClash,
  type DiscardedSample,
  type DrawState,
  type DrawTerms,
  drawTransaction,
  isFresh,
  NO_CURSOR,
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

/** A drawn batch, and the samples that were discarded before it was found. */
export interface DrawOutcome {
  readonly batch: Batch;
  readonly references: readonly ReadySample[];
  readonly discarded: readonly DiscardedSample[];
}

/** Rounds of a draw or an acknowledgement: concurrent writers cost one each. Chosen, not measured. */
const MAX_ROUNDS = 12;
/**
 * Samples in a batch. The store takes 100 entries in a transaction and a delivered sample needs three; the
 * rest is for the cursor, the published versions and the rollouts.
 */
const MAX_SAMPLES_DRAWN = 28;
/** Ready rows read for each wanted sample, so that discards leave enough. Chosen, not measured. */
const READY_ROWS_PER_SAMPLE = 2;

/** Draws, redeliveries and acknowledgements. */
export class BatchLedger {
  constructor(
    private readonly table: Table,
    private readonly objects: Objects,
  ) {}

  /** Draws a batch. With nothing ready the batch is empty and the cursor stays free. */
  async draw(terms: DrawTerms, request: DrawRequest): StateResult<DrawOutcome> {
    const discarded: DiscardedSample[] = [];
    return settle(MAX_ROUNDS, 'the draw could not be settled', () =>
      this.drawRound(terms, request, discarded),
    );
  }

  /** One round; appends what it discards to `discarded`. */
  private async drawRound(
    terms: DrawTerms,
    request: DrawRequest,
    discarded: DiscardedSample[],
  ): Attempt<DrawOutcome> {
    const state = await this.readState(terms, request);
    if (state.isErr()) return err(state.error);
    const clash = cursorClash(state.value.cursorRow, request);
    if (clash) return err(clash);
    const step = await this.drawOnce(terms, request, state.value);
    if (step.isErr()) return step.error.effect === 'none' ? err(step.error) : undefined;
    if (step.value === undefined) return undefined;
    discarded.push(...step.value.discarded);
    const { row } = step.value;
    const batch = await this.assemble(terms, request, row);
    if (batch.isErr()) return err(batch.error);
    return batch.value && ok({ batch: batch.value, references: row.samples, discarded });
  }

  /** Acknowledges a batch. Repeating it is harmless. Error `conflict`: it is not the last batch. */
  async acknowledge(trainer: string, cursor: number, attempt: number, digest: string): StateResult<void> {
    return settle(MAX_ROUNDS, 'the acknowledgement could not be settled', () =>
      this.acknowledgeOnce(ledgerKeys.cursor(trainer), { cursor, attempt, digest }),
    );
  }

  private async acknowledgeOnce(
    key: string,
    batch: Pick<CursorRow, 'cursor' | 'attempt' | 'digest'>,
  ): Attempt<void> {
    const rows = await this.table.read([key]);
    if (rows.isErr()) return err(rows.error);
    const stored = rows.value[0];
    const row = (stored?.value as CursorRow | undefined) ?? NO_CURSOR;
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

  private async readState(terms: DrawTerms, request: DrawRequest): StateResult<DrawState> {
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

  /** The write of a round; `undefined` when a condition failed. */
  private async drawOnce(terms: DrawTerms, request: DrawRequest, state: DrawState) {
    const row = state.cursorRow ?? NO_CURSOR;
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

  /** Delivers a batch again and stores the sequence of the request, which rejects earlier ones. */
  private async redeliver(terms: DrawTerms, request: DrawRequest, state: DrawState, row: CursorRow) {
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

  /** Chooses samples for a batch: first those of the void attempt that are still fresh, then ready ones. */
  private async select(
    terms: DrawTerms,
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

  /** Reads the content of the samples; `undefined` when some became too old meanwhile. */
  private async assemble(
    terms: DrawTerms,
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
        return err(new StateError('unavailable', 'unknown', `object ${names[index]} is missing`));
      contents.set(names[index] as string, JSON.parse(bytes.value.toString('utf8')) as Sample[]);
    }
    return ok(references.flatMap((one) => contents.get(one.object)?.[one.position] ?? []));
  }
}

function isSameBatch(row: CursorRow, batch: Pick<CursorRow, 'cursor' | 'attempt' | 'digest'>): boolean {
  return row.cursor === batch.cursor && row.attempt === batch.attempt && row.digest === batch.digest;
}
