/**
 * Submission and generation side of the sample ledger. A slot is won by one attempt: the transaction that
 * writes it holds only if the slot was still free, the rollout was not cancelled, and the lease under which
 * the sample was generated is still the newest one.
 */
import { err, ok, type Result } from 'neverthrow';
import { sha256Hex, uniqueId } from '../../../common/identifier.js';
import type { RolloutProgress, RolloutSubmission, Sample } from '../../../protocol/resource/trainer.js';
import { StateError } from '../../state-error.js';
import type { HeldLease } from '../leases/index.js';
import type { Objects, Row } from '../tables/index.js';
import { scanAll, type Table } from '../tables/index.js';
import {
  type ExpiredSample,
  ledgerKeys,
  type OpenRow,
  oldestVersion,
  type ReadySample,
  type RegenerateRow,
  type RolloutRow,
  type SampleDecision,
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

/** A generated sample that is to win its slot. */
export interface FinishedSample {
  readonly task: SlotTask;
  readonly shard: number;
  readonly rolloutVersion: number;
  readonly sample: Sample;
  readonly decision: SampleDecision;
}

/** What became of a finished sample. */
export type CommitVerdict = 'won' | 'lost';

const MAX_SETTLE_TRIES = 6;

function submissionDigest(submission: RolloutSubmission): string {
  const { model, prompts, samplesPerPrompt, maxTokens, seed } = submission;
  return sha256Hex(JSON.stringify([model, prompts, samplesPerPrompt, maxTokens, seed ?? 0]));
}

/** Rollouts, their slots, and the samples that win them. */
export class RolloutLedger {
  constructor(
    private readonly table: Table,
    private readonly objects: Objects,
  ) {}

  /** Records a rollout. Repeating the same submission is harmless. */
  async submit(
    trainer: string,
    submission: RolloutSubmission,
    shards: number,
  ): Promise<Result<RolloutRow, StateError>> {
    const { rolloutId, model, prompts, samplesPerPrompt, maxTokens, seed } = submission;
    const digest = submissionDigest(submission);
    const promptsObject = `rollouts/${trainer}/${rolloutId}/${digest}`;
    const stored = await this.objects.put(promptsObject, Buffer.from(JSON.stringify(prompts)));
    if (stored.isErr()) return err(stored.error);
    const slots = prompts.length * samplesPerPrompt;
    const row: RolloutRow = {
      state: 'open',
      model,
      slots,
      samplesPerPrompt,
      maxTokens,
      seed: seed ?? 0,
      promptsObject,
      digest,
      shards,
    };
    const key = ledgerKeys.rollout(trainer, rolloutId);
    const open = Array.from({ length: shards }, (_, shard) => ({
      key: ledgerKeys.open(trainer, shard, rolloutId),
      value: { rolloutId } satisfies OpenRow,
    }));
    for (let attempt = 0; attempt < MAX_SETTLE_TRIES; attempt += 1) {
      const written = await this.table.transact({
        conditions: [{ key, version: 0 }],
        writes: [{ key, value: row }, ...open],
      });
      if (written.isOk() && written.value.committed) return ok(row);
      if (written.isErr() && written.error.effect === 'none') return err(written.error);
      const known = await this.table.read([key]);
      if (known.isErr()) return err(known.error);
      const earlier = known.value[0]?.value as RolloutRow | undefined;
      if (earlier?.digest === digest) return ok(earlier);
      if (earlier)
        return err(new StateError('conflict', 'none', `rollout ${rolloutId} exists with other content`));
    }
    return err(new StateError('unavailable', 'unknown', 'the submission could not be settled', 1_000));
  }

  /** Cancels a rollout: no further sample of it wins a slot or is drawn. */
  async cancel(trainer: string, rolloutId: string): Promise<Result<void, StateError>> {
    const key = ledgerKeys.rollout(trainer, rolloutId);
    for (let attempt = 0; attempt < MAX_SETTLE_TRIES; attempt += 1) {
      const rows = await this.table.read([key]);
      if (rows.isErr()) return err(rows.error);
      const stored = rows.value[0];
      if (!stored) return err(new StateError('not-found', 'none', `no rollout ${rolloutId}`));
      const row = stored.value as RolloutRow;
      if (row.state === 'cancelled') return ok(undefined);
      const open = Array.from({ length: row.shards }, (_, shard) => ({
        key: ledgerKeys.open(trainer, shard, rolloutId),
        value: null,
      }));
      const cancelled: RolloutRow = { ...row, state: 'cancelled' };
      const written = await this.table.transact({
        conditions: [{ key, version: stored.version }],
        writes: [{ key, value: cancelled }, ...open],
      });
      if (written.isOk() && written.value.committed) return ok(undefined);
    }
    return err(new StateError('unavailable', 'unknown', 'the cancellation could not be settled', 1_000));
  }

  /** Progress of a rollout; the counts are read one after the other and may lag. */
  async progress(trainer: string, rolloutId: string): Promise<Result<RolloutProgress, StateError>> {
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
  async list(trainer: string): Promise<Result<{ rolloutId: string; row: RolloutRow }[], StateError>> {
    const prefix = ledgerKeys.rollouts(trainer);
    const rows = await scanAll(this.table, prefix);
    return rows.map((found) =>
      found.map((row) => ({ rolloutId: row.key.slice(prefix.length), row: row.value as RolloutRow })),
    );
  }

  /** Rollouts of a shard that still have slots to win. */
  async openRollouts(trainer: string, shard: number): Promise<Result<string[], StateError>> {
    const rows = await scanAll(this.table, ledgerKeys.openOfShard(trainer, shard));
    return rows.map((found) => found.map((row) => (row.value as OpenRow).rolloutId));
  }

  /** Slots of a shard whose sample expired. */
  async regenerations(trainer: string, shard: number): Promise<Result<SlotTask[], StateError>> {
    const rows = await scanAll(this.table, ledgerKeys.regenerateOfShard(trainer, shard));
    return rows.map((found) => found.map((row) => row.value as RegenerateRow));
  }

  /** Whether a rollout was cancelled. */
  async isCancelled(trainer: string, rolloutId: string): Promise<Result<boolean, StateError>> {
    const rows = await this.table.read([ledgerKeys.rollout(trainer, rolloutId)]);
    return rows.map((found) => (found[0]?.value as RolloutRow | undefined)?.state === 'cancelled');
  }

  /** A rollout with its prompts; `undefined` when it does not exist. */
  async load(trainer: string, rolloutId: string): Promise<Result<LoadedRollout | undefined, StateError>> {
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

  /** Slots of a shard that no attempt has won yet. */
  async freeSlots(
    trainer: string,
    rollout: LoadedRollout,
    shard: number,
  ): Promise<Result<SlotTask[], StateError>> {
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

  /** Takes a rollout off a shard's list of open work, once all its slots were won. */
  async closeShard(trainer: string, shard: number, rolloutId: string, lease: HeldLease): Promise<void> {
    await this.table.transact({
      conditions: [lease.condition],
      writes: [{ key: ledgerKeys.open(trainer, shard, rolloutId), value: null }],
    });
  }

  /**
   * Commits finished samples under a lease. The payloads go into one object first. The samples are tried in one
   * transaction; when a condition fails they are tried one by one, so that one lost slot takes no others along.
   */
  async commit(
    trainer: string,
    lease: HeldLease,
    finished: readonly FinishedSample[],
  ): Promise<Result<CommitVerdict[], StateError>> {
    const object = `samples/${trainer}/${uniqueId()}`;
    const stored = await this.objects.put(
      object,
      Buffer.from(JSON.stringify(finished.map((one) => one.sample))),
    );
    if (stored.isErr()) return err(stored.error);
    const prepared = finished.map((one, position) => prepareCommit(trainer, one, object, position));
    const together = await this.commitPrepared(lease, prepared);
    if (together.isErr()) return err(together.error);
    if (together.value) return ok(finished.map(() => 'won'));
    const verdicts: CommitVerdict[] = [];
    for (const one of prepared) {
      const alone = await this.commitPrepared(lease, [one]);
      if (alone.isErr()) return err(alone.error);
      verdicts.push(alone.value ? 'won' : 'lost');
    }
    return ok(verdicts);
  }

  /** True when the samples have won their slots, also when the answer to an earlier try was lost. */
  private async commitPrepared(
    lease: HeldLease,
    prepared: readonly PreparedCommit[],
  ): Promise<Result<boolean, StateError>> {
    for (let attempt = 0; attempt < MAX_SETTLE_TRIES; attempt += 1) {
      const written = await this.table.transact({
        conditions: [lease.condition, ...prepared.flatMap((one) => one.conditions)],
        writes: prepared.flatMap((one) => one.writes),
      });
      if (written.isOk() && written.value.committed) return ok(true);
      if (written.isErr() && written.error.effect === 'none') return err(written.error);
      const won = await this.haveWon(prepared);
      if (won.isErr()) return err(won.error);
      if (won.value) return ok(true);
      if (written.isErr()) continue;
      if (written.value.failed.includes(lease.condition.key)) {
        return err(new StateError('lease-lost', 'none', `lease ${lease.name} has a new holder`));
      }
      return ok(false);
    }
    return err(new StateError('unavailable', 'unknown', 'the samples could not be settled', 1_000));
  }

  /** Whether the slots hold exactly these attempts, told by the request ID that each one carries. */
  private async haveWon(prepared: readonly PreparedCommit[]): Promise<Result<boolean, StateError>> {
    const rows = await this.table.read(prepared.map((one) => one.slotKey));
    return rows.map((found) => {
      const winners = new Map(found.map((row: Row) => [row.key, (row.value as SlotRow).decision?.requestId]));
      return prepared.every((one) => winners.get(one.slotKey) === one.requestId);
    });
  }
}

interface PreparedCommit {
  readonly slotKey: string;
  readonly requestId: string;
  readonly conditions: readonly { key: string; version: number }[];
  readonly writes: readonly { key: string; value: unknown }[];
}

function prepareCommit(
  trainer: string,
  finished: FinishedSample,
  object: string,
  position: number,
): PreparedCommit {
  const { task, sample, shard, decision } = finished;
  const slotKey = ledgerKeys.slot(trainer, task.rolloutId, task.slot);
  const slotRow: SlotRow = {
    state: 'won',
    generation: task.generation,
    sampleId: sample.sampleId,
    segments: sample.segments,
    decision,
    expired: task.expired,
  };
  const ready: ReadySample = {
    sampleId: sample.sampleId,
    rolloutId: task.rolloutId,
    slot: task.slot,
    generation: task.generation,
    shard,
    model: sample.model,
    oldestVersion: oldestVersion(sample.segments),
    contentDigest: sha256Hex(JSON.stringify(sample)),
    object,
    position,
    slotVersion: task.slotVersion + 1,
    expired: task.expired,
  };
  const regenerateKey = ledgerKeys.regenerate(trainer, shard, task.rolloutId, task.slot);
  const regenerated = task.generation > 0 ? [{ key: regenerateKey, value: null }] : [];
  return {
    slotKey,
    requestId: decision.requestId,
    conditions: [
      { key: ledgerKeys.rollout(trainer, task.rolloutId), version: finished.rolloutVersion },
      { key: slotKey, version: task.slotVersion },
    ],
    writes: [
      { key: slotKey, value: slotRow },
      { key: ledgerKeys.ready(trainer, uniqueId()), value: ready },
      ...regenerated,
    ],
  };
}
