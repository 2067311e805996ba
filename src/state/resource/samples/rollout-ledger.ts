/**
 * Rollouts in the sample ledger: submission, cancellation, progress, and the work that a shard's owner has to
 * do. Slots are won in `sample-commits.ts`, samples are drawn in `batch-ledger.ts`; the rows are those of
 * `ledger-rows.ts`.
 *
 * Owns no state. Writes are conditional; one whose outcome stays unknown fails as `unavailable` and may be
 * repeated.
 */
import { err, ok } from 'neverthrow';
import { sha256Hex } from '../../../common/identifier.js';
import type { RolloutProgress, RolloutSubmission } from '../../../protocol/resource/trainer.js';
import { StateError } from '../../state-error.js';
import type { HeldLease } from '../leases/index.js';
import {
  type Attempt,
  type Objects,
  type StateResult,
  scanAll,
  settle,
  type Table,
} from '../tables/index.js';
import {
  type ExpiredSample,
  ledgerKeys,
  type OpenRow,
  type RegenerateRow,
  type RolloutRow,
  type SlotRow,
} from './ledger-rows.js';

/** A rollout with its prompts. */
export interface LoadedRollout {
  readonly rolloutId: string;
  readonly row: RolloutRow;
  readonly rowVersion: number;
  readonly prompts: readonly string[];
}

/** A slot to generate. `slotVersion` is 0 unless an earlier sample of the slot expired. */
export interface SlotTask {
  readonly rolloutId: string;
  readonly slot: number;
  readonly generation: number;
  readonly slotVersion: number;
  /** Earlier samples of the slot that expired. */
  readonly expired: readonly ExpiredSample[];
}

/** Rounds of a submission or a cancellation. Chosen, not measured. */
const MAX_SETTLE_ROUNDS = 6;

function submissionDigest(submission: RolloutSubmission): string {
  const { model, prompts, samplesPerPrompt, maxTokens, seed } = submission;
  return sha256Hex(JSON.stringify([model, prompts, samplesPerPrompt, maxTokens, seed ?? 0]));
}

/** Writes of the rows that list a rollout as open work, one for each shard. */
function openWrites(trainer: string, rolloutId: string, shards: number, value: OpenRow | null) {
  return Array.from({ length: shards }, (_, shard) => ({
    key: ledgerKeys.open(trainer, shard, rolloutId),
    value,
  }));
}

/** Rollouts and their open work. */
export class RolloutLedger {
  constructor(
    private readonly table: Table,
    private readonly objects: Objects,
  ) {}

  /** Records a rollout. Repeating it is harmless. Error `conflict`: the ID has other content. */
  async submit(trainer: string, submission: RolloutSubmission, shards: number): StateResult<RolloutRow> {
    const { rolloutId, model, prompts, samplesPerPrompt, maxTokens, seed } = submission;
    const digest = submissionDigest(submission);
    const promptsObject = `rollouts/${trainer}/${rolloutId}/${digest}`;
    const stored = await this.objects.put(promptsObject, Buffer.from(JSON.stringify(prompts)));
    if (stored.isErr()) return err(stored.error);
    const row: RolloutRow = {
      state: 'open',
      model,
      slots: prompts.length * samplesPerPrompt,
      samplesPerPrompt,
      maxTokens,
      seed: seed ?? 0,
      promptsObject,
      digest,
      shards,
    };
    return settle(MAX_SETTLE_ROUNDS, 'the submission could not be settled', () =>
      this.submitOnce(trainer, rolloutId, row),
    );
  }

  private async submitOnce(trainer: string, rolloutId: string, row: RolloutRow): Attempt<RolloutRow> {
    const key = ledgerKeys.rollout(trainer, rolloutId);
    const open = { rolloutId } satisfies OpenRow;
    const written = await this.table.transact({
      conditions: [{ key, version: 0 }],
      writes: [{ key, value: row }, ...openWrites(trainer, rolloutId, row.shards, open)],
    });
    if (written.isOk() && written.value.committed) return ok(row);
    if (written.isErr() && written.error.effect === 'none') return err(written.error);
    const known = await this.table.read([key]);
    if (known.isErr()) return err(known.error);
    const earlier = known.value[0]?.value as RolloutRow | undefined;
    if (earlier === undefined) return undefined;
    if (earlier.digest === row.digest) return ok(earlier);
    return err(new StateError('conflict', 'none', `rollout ${rolloutId} exists with other content`));
  }

  /** Cancels a rollout: no further sample of it wins a slot or is drawn. Repeating it is harmless. */
  async cancel(trainer: string, rolloutId: string): StateResult<void> {
    return settle(MAX_SETTLE_ROUNDS, 'the cancellation could not be settled', () =>
      this.cancelOnce(trainer, rolloutId),
    );
  }

  private async cancelOnce(trainer: string, rolloutId: string): Attempt<void> {
    const key = ledgerKeys.rollout(trainer, rolloutId);
    const rows = await this.table.read([key]);
    if (rows.isErr()) return err(rows.error);
    const stored = rows.value[0];
    if (!stored) return err(new StateError('not-found', 'none', `no rollout ${rolloutId}`));
    const row = stored.value as RolloutRow;
    if (row.state === 'cancelled') return ok(undefined);
    const cancelled: RolloutRow = { ...row, state: 'cancelled' };
    const written = await this.table.transact({
      conditions: [{ key, version: stored.version }],
      writes: [{ key, value: cancelled }, ...openWrites(trainer, rolloutId, row.shards, null)],
    });
    return written.isOk() && written.value.committed ? ok(undefined) : undefined;
  }

  /** Progress of a rollout; the counts are read one after the other and may lag. */
  async progress(trainer: string, rolloutId: string): StateResult<RolloutProgress> {
    const rows = await this.table.read([ledgerKeys.rollout(trainer, rolloutId)]);
    if (rows.isErr()) return err(rows.error);
    const row = rows.value[0]?.value as RolloutRow | undefined;
    if (!row) return err(new StateError('not-found', 'none', `no rollout ${rolloutId}`));
    const slots = await scanAll(this.table, ledgerKeys.slots(trainer, rolloutId));
    if (slots.isErr()) return err(slots.error);
    const delivered = await scanAll(this.table, ledgerKeys.deliveredOfRollout(trainer, rolloutId));
    if (delivered.isErr()) return err(delivered.error);
    const won = slots.value.filter((slot) => (slot.value as SlotRow).state === 'won').length;
    const drawn = delivered.value.length;
    return ok({
      rolloutId,
      state: row.state,
      slots: row.slots,
      ready: Math.max(0, won - drawn),
      drawn,
      regenerating: slots.value.length - won,
    });
  }

  /** IDs and rows of a trainer's rollouts. */
  async list(trainer: string): StateResult<{ rolloutId: string; row: RolloutRow }[]> {
    const prefix = ledgerKeys.rollouts(trainer);
    const rows = await scanAll(this.table, prefix);
    return rows.map((found) =>
      found.map((row) => ({ rolloutId: row.key.slice(prefix.length), row: row.value as RolloutRow })),
    );
  }

  /** Rollouts of a shard that still have slots to win. */
  async openRollouts(trainer: string, shard: number): StateResult<string[]> {
    const rows = await scanAll(this.table, ledgerKeys.openOfShard(trainer, shard));
    return rows.map((found) => found.map((row) => (row.value as OpenRow).rolloutId));
  }

  /** Slots of a shard whose sample expired. */
  async regenerations(trainer: string, shard: number): StateResult<SlotTask[]> {
    const rows = await scanAll(this.table, ledgerKeys.regenerateOfShard(trainer, shard));
    return rows.map((found) => found.map((row) => row.value as RegenerateRow));
  }

  /** Whether a rollout was cancelled. */
  async isCancelled(trainer: string, rolloutId: string): StateResult<boolean> {
    const rows = await this.table.read([ledgerKeys.rollout(trainer, rolloutId)]);
    return rows.map((found) => (found[0]?.value as RolloutRow | undefined)?.state === 'cancelled');
  }

  /** A rollout with its prompts; `undefined` when it does not exist. */
  async load(trainer: string, rolloutId: string): StateResult<LoadedRollout | undefined> {
    const rows = await this.table.read([ledgerKeys.rollout(trainer, rolloutId)]);
    if (rows.isErr()) return err(rows.error);
    const stored = rows.value[0];
    if (!stored) return ok(undefined);
    const row = stored.value as RolloutRow;
    const bytes = await this.objects.get(row.promptsObject);
    if (bytes.isErr()) return err(bytes.error);
    if (!bytes.value)
      return err(new StateError('unavailable', 'none', `prompts of ${rolloutId} are missing`));
    const prompts = JSON.parse(bytes.value.toString('utf8')) as string[];
    return ok({ rolloutId, row, rowVersion: stored.version, prompts });
  }

  /** Slots of a shard that no attempt has won. A slot's shard is its number modulo that of shards. */
  async freeSlots(trainer: string, rollout: LoadedRollout, shard: number): StateResult<SlotTask[]> {
    const rows = await scanAll(this.table, ledgerKeys.slots(trainer, rollout.rolloutId));
    return rows.map((found) => {
      const taken = new Set(found.map((row) => Number(row.key.split('/').at(-1))));
      const free: SlotTask[] = [];
      for (let slot = shard; slot < rollout.row.slots; slot += rollout.row.shards) {
        if (taken.has(slot)) continue;
        free.push({ rolloutId: rollout.rolloutId, slot, generation: 0, slotVersion: 0, expired: [] });
      }
      return free;
    });
  }

  /** Removes a rollout from a shard's open work. Best effort: a row that stays only costs reads. */
  async closeShard(trainer: string, shard: number, rolloutId: string, lease: HeldLease): Promise<void> {
    await this.table.transact({
      conditions: [lease.condition],
      writes: [{ key: ledgerKeys.open(trainer, shard, rolloutId), value: null }],
    });
  }
}
