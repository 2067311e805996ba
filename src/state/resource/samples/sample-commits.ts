/**
 * Commits generated samples to their slots. Each transaction is conditional on the slot being free, the
 * rollout row being unchanged (not cancelled), and the lease of the generating node being current, so that a
 * node that has lost the shard cannot commit.
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

/** A generated sample to be committed; `rolloutVersion` is the version of the rollout row. */
export interface FinishedSample {
  readonly task: SlotTask;
  readonly shard: number;
  readonly rolloutVersion: number;
  readonly sample: Sample;
  readonly decision: SampleDecision;
}

/** `lost`: another attempt has committed the slot, or the rollout was cancelled. */
export type CommitResult = 'won' | 'lost';

const MAX_ATTEMPTS = 6;

interface PreparedCommit {
  readonly slotKey: string;
  readonly requestId: string;
  readonly conditions: readonly { key: string; version: number }[];
  readonly writes: readonly { key: string; value: unknown }[];
}

export class SampleCommits {
  constructor(
    private readonly table: Table,
    private readonly objects: Objects,
  ) {}

  /**
   * Stores the content of all samples in one object and commits their slots in one transaction. If a condition
   * fails, commits them one by one, so that a lost slot does not affect the others. Idempotent. Error
   * `lease-lost`: the remaining samples were not committed.
   */
  async commit(
    trainer: string,
    lease: HeldLease,
    finished: readonly FinishedSample[],
  ): StateResult<CommitResult[]> {
    const object = `samples/${trainer}/${uniqueId()}`;
    const stored = await this.objects.put(
      object,
      Buffer.from(JSON.stringify(finished.map((one) => one.sample))),
    );
    if (stored.isErr()) return err(stored.error);
    const prepared = finished.map((one, position) => prepareCommit(trainer, one, object, position));
    const combined = await this.commitPrepared(lease, prepared);
    if (combined.isErr()) return err(combined.error);
    if (combined.value) return ok(finished.map(() => 'won'));
    const results: CommitResult[] = [];
    for (const one of prepared) {
      const single = await this.commitPrepared(lease, [one]);
      if (single.isErr()) return err(single.error);
      results.push(single.value ? 'won' : 'lost');
    }
    return ok(results);
  }

  /** Returns true if the samples are committed, including by an earlier attempt whose response was lost. */
  private async commitPrepared(lease: HeldLease, prepared: readonly PreparedCommit[]): StateResult<boolean> {
    return settle(MAX_ATTEMPTS, 'sample commit was not confirmed by the store', () =>
      this.tryCommit(lease, prepared),
    );
  }

  private async tryCommit(lease: HeldLease, prepared: readonly PreparedCommit[]): Attempt<boolean> {
    const written = await this.table.transact({
      conditions: [lease.condition, ...prepared.flatMap((one) => one.conditions)],
      writes: prepared.flatMap((one) => one.writes),
    });
    if (written.isOk() && written.value.committed) return ok(true);
    if (written.isErr() && written.error.effect === 'none') return err(written.error);
    const won = await this.areCommitted(prepared);
    if (won.isErr() || won.value) return won;
    if (written.isErr()) return undefined;
    if (!written.value.failed.includes(lease.condition.key)) return ok(false);
    return err(new StateError('lease-lost', 'none', `lease ${lease.name} is held by another node`));
  }

  /** Whether the slots hold these attempts, identified by request ID. */
  private async areCommitted(prepared: readonly PreparedCommit[]): StateResult<boolean> {
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
