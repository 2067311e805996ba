/**
 * Commits of generated samples. A slot is won by one attempt: the transaction that writes it is conditional
 * on the slot being free, the rollout not being cancelled, and the lease of the generating node being the
 * newest one. So an owner that was paused and superseded cannot commit.
 */
import { err, ok } from 'neverthrow';
import { sha256Hex, uniqueId } from '../../../common/identifier.js';
import type { Sample } from '../../../protocol/resource/trainer.js';
import { StateError } from '../../state-error.js';
import type { HeldLease } from '../leases/index.js';
import {
  type Attempt,
  type Objects,
  type Row,
  type StateResult,
  settle,
  type Table,
} from '../tables/index.js';
import {
  ledgerKeys,
  oldestVersion,
  type ReadySample,
  type SampleDecision,
  type SlotRow,
} from './ledger-rows.js';
import type { SlotTask } from './rollout-ledger.js';

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

/** Rounds of a transaction; its caller repeats until the lease is lost. Chosen, not measured. */
const MAX_SETTLE_ROUNDS = 6;

interface PreparedCommit {
  readonly slotKey: string;
  readonly requestId: string;
  readonly conditions: readonly { key: string; version: number }[];
  readonly writes: readonly { key: string; value: unknown }[];
}

/** Commits under leases; owns no state. */
export class SampleCommits {
  constructor(
    private readonly table: Table,
    private readonly objects: Objects,
  ) {}

  /**
   * Commits finished samples under a lease: their content in one object, then all slots in one transaction.
   * When a condition fails, they are committed one by one, so that a lost slot does not affect the others.
   * Error `lease-lost`: none of those left was committed. Repeating a commit is safe.
   */
  async commit(
    trainer: string,
    lease: HeldLease,
    finished: readonly FinishedSample[],
  ): StateResult<CommitVerdict[]> {
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
  private async commitPrepared(lease: HeldLease, prepared: readonly PreparedCommit[]): StateResult<boolean> {
    return settle(MAX_SETTLE_ROUNDS, 'the samples could not be settled', () =>
      this.commitOnce(lease, prepared),
    );
  }

  private async commitOnce(lease: HeldLease, prepared: readonly PreparedCommit[]): Attempt<boolean> {
    const written = await this.table.transact({
      conditions: [lease.condition, ...prepared.flatMap((one) => one.conditions)],
      writes: prepared.flatMap((one) => one.writes),
    });
    if (written.isOk() && written.value.committed) return ok(true);
    if (written.isErr() && written.error.effect === 'none') return err(written.error);
    const won = await this.haveWon(prepared);
    if (won.isErr() || won.value) return won;
    if (written.isErr()) return undefined;
    if (!written.value.failed.includes(lease.condition.key)) return ok(false);
    return err(new StateError('lease-lost', 'none', `lease ${lease.name} has a new holder`));
  }

  /** Whether the slots hold exactly these attempts, identified by their request IDs. */
  private async haveWon(prepared: readonly PreparedCommit[]): StateResult<boolean> {
    const rows = await this.table.read(prepared.map((one) => one.slotKey));
    return rows.map((found) => {
      const winners = new Map(found.map((row: Row) => [row.key, (row.value as SlotRow).decision?.requestId]));
      return prepared.every((one) => winners.get(one.slotKey) === one.requestId);
    });
  }
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
