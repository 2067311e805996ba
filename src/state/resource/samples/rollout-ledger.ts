/**
 * Submits, cancels and lists rollouts, and reads the slots that a shard still has to generate. Samples are
 * committed by `sample-commits.ts` and drawn by `batch-ledger.ts`. A write whose outcome stays unknown fails
 * as `unavailable` and may be retried.
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
  readonly expired: readonly ExpiredSample[];
}

const MAX_ATTEMPTS = 6;

function submissionDigest(submission: RolloutSubmission): string {
  const { model, prompts, samplesPerPrompt, maxTokens, seed } = submission;
  return sha256Hex(JSON.stringify([model, prompts, samplesPerPrompt, maxTokens, seed ?? 0]));
}

/** Writes or deletes the rows that list a rollout as open work, one per shard. */
function openWrites(trainer: string, rolloutId: string, shards: number, value: OpenRow | null) {
  return Array.from({ length: shards }, (_, shard) => ({
    key: ledgerKeys.open(trainer, shard, rolloutId),
    value,
  }));
}

export class RolloutLedger {
  constructor(
    private readonly table: Table,
    private readonly objects: Objects,
  ) {}

  /** Stores a rollout; idempotent. Error `conflict`: the ID exists with different content. */
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
    return settle(MAX_ATTEMPTS, 'rollout submission was not confirmed by the store', () =>
      this.trySubmit(trainer, rolloutId, row),
    );
  }

  private async trySubmit(trainer: string, rolloutId: string, row: RolloutRow): Attempt<RolloutRow> {
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
    const existing = known.value[0]?.value as RolloutRow | undefined;
    if (existing === undefined) return undefined;
    if (existing.digest === row.digest) return ok(existing);
    return err(
      new StateError('conflict', 'none', `rollout ${rolloutId} already exists with different content`),
    );
  }

  /** Cancels a rollout; idempotent. No further sample of it is committed or drawn. */
  async cancel(trainer: string, rolloutId: string): StateResult<void> {
    return settle(MAX_ATTEMPTS, 'rollout cancellation was not confirmed by the store', () =>
      this.tryCancel(trainer, rolloutId),
    );
  }

  private async tryCancel(trainer: string, rolloutId: string): Attempt<void> {
    const key = ledgerKeys.rollout(trainer, rolloutId);
    const rows = await this.table.read([key]);
    if (rows.isErr()) return err(rows.error);
    const stored = rows.value[0];
    if (!stored) return err(new StateError('not-found', 'none', `rollout ${rolloutId} not found`));
    const row = stored.value as RolloutRow;
    if (row.state === 'cancelled') return ok(undefined);
    const cancelled: RolloutRow = { ...row, state: 'cancelled' };
    const written = await this.table.transact({
      conditions: [{ key, version: stored.version }],
      writes: [{ key, value: cancelled }, ...openWrites(trainer, rolloutId, row.shards, null)],
    });
    return written.isOk() && written.value.committed ? ok(undefined) : undefined;
  }

  /** The counts are read separately and may be inconsistent with each other. */
  async progress(trainer: string, rolloutId: string): StateResult<RolloutProgress> {
    const rows = await this.table.read([ledgerKeys.rollout(trainer, rolloutId)]);
    if (rows.isErr()) return err(rows.error);
    const row = rows.value[0]?.value as RolloutRow | undefined;
    if (!row) return err(new StateError('not-found', 'none', `rollout ${rolloutId} not found`));
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

  async list(trainer: string): StateResult<{ rolloutId: string; row: RolloutRow }[]> {
    const prefix = ledgerKeys.rollouts(trainer);
    const rows = await scanAll(this.table, prefix);
    return rows.map((found) =>
      found.map((row) => ({ rolloutId: row.key.slice(prefix.length), row: row.value as RolloutRow })),
    );
  }

  /** IDs of the rollouts with slots of the shard to generate. */
  async openRollouts(trainer: string, shard: number): StateResult<string[]> {
    const rows = await scanAll(this.table, ledgerKeys.openOfShard(trainer, shard));
    return rows.map((found) => found.map((row) => (row.value as OpenRow).rolloutId));
  }

  /** Slots of the shard whose sample expired. */
  async regenerations(trainer: string, shard: number): StateResult<SlotTask[]> {
    const rows = await scanAll(this.table, ledgerKeys.regenerateOfShard(trainer, shard));
    return rows.map((found) => found.map((row) => row.value as RegenerateRow));
  }

  async isCancelled(trainer: string, rolloutId: string): StateResult<boolean> {
    const rows = await this.table.read([ledgerKeys.rollout(trainer, rolloutId)]);
    return rows.map((found) => (found[0]?.value as RolloutRow | undefined)?.state === 'cancelled');
  }

  /** Returns `undefined` if the rollout does not exist. */
  async load(trainer: string, rolloutId: string): StateResult<LoadedRollout | undefined> {
    const rows = await this.table.read([ledgerKeys.rollout(trainer, rolloutId)]);
    if (rows.isErr()) return err(rows.error);
    const stored = rows.value[0];
    if (!stored) return ok(undefined);
    const row = stored.value as RolloutRow;
    const bytes = await this.objects.get(row.promptsObject);
    if (bytes.isErr()) return err(bytes.error);
    if (!bytes.value)
      return err(new StateError('unavailable', 'none', `prompts object of rollout ${rolloutId} not found`));
    const prompts = JSON.parse(bytes.value.toString('utf8')) as string[];
    return ok({ rolloutId, row, rowVersion: stored.version, prompts });
  }

  /** Slots of the shard without a committed sample. A slot belongs to shard `slot % shards`. */
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

  /** Removes a rollout from the open work of a shard, best effort. */
  async closeShard(trainer: string, shard: number, rolloutId: string, lease: HeldLease): Promise<void> {
    await this.table.transact({
      conditions: [lease.condition],
      writes: [{ key: ledgerKeys.open(trainer, shard, rolloutId), value: null }],
    });
  }
}
