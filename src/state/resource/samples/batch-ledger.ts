/**
 * Delivery side of the sample ledger. A cursor stands for one batch; drawing it again, through whichever
 * node, returns the same batch, and drawing the next cursor acknowledges it. Samples are checked against the
 * staleness bound in the transaction that hands them out, which is conditional on the rows that hold the newest
 * published versions. When samples of a batch have become too old before a redelivery, the whole attempt is
 * void: they are generated again, and the cursor gets a new attempt without them.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Batch, DrawRequest, Sample } from '../../../protocol/resource/trainer.js';
import { StateError } from '../../state-error.js';
import { publishedKey, publishedVersion } from '../configuration/index.js';
import type { Objects, Row, Table } from '../tables/index.js';
import {
  type Candidate,
  cursorClash,
  type DiscardedSample,
  type DrawState,
  type DrawTerms,
  drawTransaction,
  NO_CURSOR,
  nextCursorRow,
  type Selection,
} from './draw-rules.js';
import {
  type CursorRow,
  type DeliveredRow,
  isWithinBound,
  ledgerKeys,
  type ReadySample,
  type RolloutRow,
  type SlotRow,
} from './ledger-rows.js';

/** A draw: the batch and what was discarded on the way. */
export interface DrawOutcome {
  readonly batch: Batch;
  readonly references: readonly ReadySample[];
  readonly discarded: readonly DiscardedSample[];
}

const MAX_TRIES = 12;
/** The store takes 100 entries in a transaction; a sample that is handed out needs three. */
const MAX_SAMPLES_DRAWN = 28;
/** Draws, redeliveries and acknowledgements. */
export class BatchLedger {
  constructor(
    private readonly table: Table,
    private readonly objects: Objects,
  ) {}

  /** Draws a batch. With nothing ready the batch is empty and the cursor stays free. */
  async draw(terms: DrawTerms, request: DrawRequest): Promise<Result<DrawOutcome, StateError>> {
    const discarded: DiscardedSample[] = [];
    for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
      const state = await this.readState(terms, request);
      if (state.isErr()) return err(state.error);
      const clash = cursorClash(state.value.cursorRow, request);
      if (clash) return err(clash);
      const step = await this.drawOnce(terms, request, state.value);
      if (step.isErr()) {
        if (step.error.effect === 'none') return err(step.error);
        continue; // The answer was lost: the next round sees what became of it.
      }
      if (step.value === undefined) continue; // Another writer was first.
      discarded.push(...step.value.discarded);
      const batch = await this.assemble(terms, request, step.value.row);
      if (batch.isErr()) return err(batch.error);
      if (batch.value) return ok({ batch: batch.value, references: step.value.row.samples, discarded });
    }
    return err(new StateError('unavailable', 'unknown', 'the draw could not be settled', 1_000));
  }

  /** Acknowledges a batch. Repeating it is harmless. */
  async acknowledge(
    trainer: string,
    cursor: number,
    attempt: number,
    digest: string,
  ): Promise<Result<void, StateError>> {
    const key = ledgerKeys.cursor(trainer);
    for (let round = 0; round < MAX_TRIES; round += 1) {
      const rows = await this.table.read([key]);
      if (rows.isErr()) return err(rows.error);
      const stored = rows.value[0];
      const row = (stored?.value as CursorRow | undefined) ?? NO_CURSOR;
      if (row.cursor > cursor) return ok(undefined);
      if (row.cursor !== cursor || row.attempt !== attempt || row.digest !== digest || !stored) {
        const message = `cursor ${cursor} attempt ${attempt} is not the batch that was handed out`;
        return err(
          new StateError('conflict', 'none', message, undefined, { expected: cursor, current: row.cursor }),
        );
      }
      if (row.acknowledged) return ok(undefined);
      const value: CursorRow = { ...row, acknowledged: true };
      const written = await this.table.transact({
        conditions: [{ key, version: stored.version }],
        writes: [{ key, value }],
      });
      if (written.isOk() && written.value.committed) return ok(undefined);
    }
    return err(new StateError('unavailable', 'unknown', 'the acknowledgement could not be settled', 1_000));
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

  private async readState(terms: DrawTerms, request: DrawRequest): Promise<Result<DrawState, StateError>> {
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

  /** One try. `undefined` means that a condition failed. */
  private async drawOnce(terms: DrawTerms, request: DrawRequest, state: DrawState) {
    const row = state.cursorRow ?? NO_CURSOR;
    const redelivered = row.cursor === request.cursor ? row.samples : [];
    const fresh = redelivered.every((sample) => this.isFresh(terms, state, sample));
    if (redelivered.length > 0 && fresh) return this.redeliver(terms, request, state, row);
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

  /** Hands a batch out again, and notes for which request. */
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

  private isFresh(terms: DrawTerms, state: DrawState, sample: ReadySample): boolean {
    const newest = state.newest.get(sample.model) ?? 0;
    return isWithinBound(sample.oldestVersion, newest, terms.stalenessBound);
  }

  /** Chooses samples for a batch: those of the attempt that is void and still fresh, then ready ones. */
  private async select(
    terms: DrawTerms,
    request: DrawRequest,
    state: DrawState,
    redelivered: readonly ReadySample[],
  ): Promise<Result<Selection, StateError>> {
    const wanted = Math.min(request.maxSamples ?? terms.batchSize, terms.batchSize, MAX_SAMPLES_DRAWN);
    const ready = await this.table.scan(ledgerKeys.readyOfTrainer(terms.trainer), 2 * wanted);
    if (ready.isErr()) return err(ready.error);
    const candidates: Candidate[] = [
      ...redelivered.map((sample) => ({ sample })),
      ...ready.value.map((row) => ({ sample: row.value as ReadySample, row })),
    ];
    const rollouts = await this.readRollouts(terms.trainer, candidates);
    if (rollouts.isErr()) return err(rollouts.error);
    const chosen: Candidate[] = [];
    const discarded: (DiscardedSample & { row?: Row })[] = [];
    for (const candidate of candidates) {
      const newest = state.newest.get(candidate.sample.model) ?? 0;
      const { sample, row } = candidate;
      if (rollouts.value.get(sample.rolloutId)?.state !== 'open') {
        discarded.push({ sample, row, newest, reason: 'rollout-cancelled' });
      } else if (!this.isFresh(terms, state, sample)) {
        discarded.push({ sample, row, newest, reason: 'too-old' });
      } else if (chosen.length < wanted) chosen.push(candidate);
    }
    return ok({ chosen, discarded, rolloutConditions: rollouts.value.conditions });
  }

  private async readRollouts(trainer: string, candidates: readonly Candidate[]) {
    const ids = [...new Set(candidates.map((one) => one.sample.rolloutId))];
    const rows = await this.table.read(ids.map((id) => ledgerKeys.rollout(trainer, id)));
    return rows.map((found) => {
      const byKey = new Map(found.map((row) => [row.key, row]));
      const states = new Map<string, RolloutRow | undefined>();
      for (const id of ids) {
        states.set(id, byKey.get(ledgerKeys.rollout(trainer, id))?.value as RolloutRow | undefined);
      }
      return {
        get: (id: string) => states.get(id),
        conditions: found.map((row) => ({ key: row.key, version: row.version })),
      };
    });
  }

  /** Reads the payloads; `undefined` when samples became too old meanwhile. */
  private async assemble(
    terms: DrawTerms,
    request: DrawRequest,
    row: CursorRow,
  ): Promise<Result<Batch | undefined, StateError>> {
    const samples = await this.readSamples(row.samples);
    if (samples.isErr()) return err(samples.error);
    const state = await this.readState(terms, request);
    if (state.isErr()) return err(state.error);
    if (!row.samples.every((sample) => this.isFresh(terms, state.value, sample))) return ok(undefined);
    return ok({
      cursor: row.cursor,
      attempt: row.attempt,
      digest: row.digest,
      checkedAgainst: Object.fromEntries(state.value.newest),
      samples: samples.value,
    });
  }

  private async readSamples(references: readonly ReadySample[]): Promise<Result<Sample[], StateError>> {
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
