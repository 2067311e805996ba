/**
 * Rows of the sample ledger in the table service.
 *
 * | key | value | written |
 * |---|---|---|
 * | `rollout/{trainer}/{rolloutId}` | RolloutRow | at submission, at cancellation |
 * | `open/{trainer}/{shard}/{rolloutId}` | OpenRow | at submission; deleted when the shard's slots are won |
 * | `slot/{trainer}/{rolloutId}/{slot}` | SlotRow | when an attempt wins the slot, when its sample expires |
 * | `ready/{trainer}/{ulid}` | ReadySample | with the slot; deleted when drawn or expired |
 * | `regenerate/{trainer}/{shard}/{rolloutId}/{slot}` | RegenerateRow | when a sample expires; deleted when won again |
 * | `cursor/{trainer}` | CursorRow | at each draw and acknowledgement |
 * | `delivered/{trainer}/{sampleId}` | DeliveredRow | when drawn |
 */
import type { Segment } from '../../../protocol/resource/trainer.js';

const SLOT_DIGITS = 7;

/** A submitted rollout. */
export interface RolloutRow {
  readonly state: 'open' | 'cancelled';
  readonly model: string;
  readonly slots: number;
  readonly samplesPerPrompt: number;
  readonly maxTokens: number;
  readonly seed: number;
  /** Object that holds the prompts, a JSON array. */
  readonly promptsObject: string;
  /** SHA-256 of the submission: tells a repeat from a conflict. */
  readonly digest: string;
  readonly shards: number;
}

/** Marks a rollout with slots of a shard that are not won. */
export interface OpenRow {
  readonly rolloutId: string;
}

/** Decision by which a sample was generated, for `explain`. */
export interface SampleDecision {
  readonly requestId: string;
  readonly node: string;
  readonly epoch: number;
  readonly configRevision: number;
  readonly reason: string;
  readonly engines: readonly string[];
}

/** A sample that was discarded as too old: the versions that decided it. */
export interface ExpiredSample {
  readonly sampleId: string;
  readonly oldest: number;
  readonly newest: number;
  readonly bound: number;
}

/** Expired samples kept in a slot's row. Chosen, not measured: bounds the row. */
export const MAX_EXPIRED_SAMPLES = 8;

/** A slot that an attempt has won, or that is to be generated again. */
export interface SlotRow {
  readonly state: 'won' | 'regenerating';
  readonly generation: number;
  readonly sampleId: string;
  readonly segments: readonly Segment[];
  readonly decision: SampleDecision | null;
  /** Samples of this slot that were discarded as too old, the newest last. */
  readonly expired: readonly ExpiredSample[];
}

/** A sample that can be drawn. */
export interface ReadySample {
  readonly sampleId: string;
  readonly rolloutId: string;
  readonly slot: number;
  readonly generation: number;
  readonly shard: number;
  readonly model: string;
  readonly oldestVersion: number;
  readonly contentDigest: string;
  /** Object with a JSON array of samples, and the index of this one in it. */
  readonly object: string;
  readonly position: number;
  /** Version of the slot row that holds the sample. */
  readonly slotVersion: number;
  readonly expired: readonly ExpiredSample[];
}

/** A slot whose sample expired. */
export interface RegenerateRow {
  readonly rolloutId: string;
  readonly slot: number;
  readonly generation: number;
  readonly slotVersion: number;
  readonly expired: readonly ExpiredSample[];
}

/** The batch of a trainer's newest cursor. */
export interface CursorRow {
  readonly cursor: number;
  /** Sequence of the newest request that received the batch. */
  readonly sequence: number;
  readonly attempt: number;
  readonly digest: string;
  readonly samples: readonly ReadySample[];
  readonly acknowledged: boolean;
  readonly checkedAgainst: Record<string, number>;
}

/** Cursor with which a sample was delivered. */
export interface DeliveredRow {
  readonly cursor: number;
}

const paddedSlot = (slot: number) => slot.toString().padStart(SLOT_DIGITS, '0');

/** Keys of the rows above. */
export const ledgerKeys = {
  rollouts: (trainer: string) => `rollout/${trainer}/`,
  rollout: (trainer: string, rolloutId: string) => `rollout/${trainer}/${rolloutId}`,
  openOfShard: (trainer: string, shard: number) => `open/${trainer}/${shard}/`,
  open: (trainer: string, shard: number, rolloutId: string) => `open/${trainer}/${shard}/${rolloutId}`,
  slots: (trainer: string, rolloutId: string) => `slot/${trainer}/${rolloutId}/`,
  slot: (trainer: string, rolloutId: string, slot: number) =>
    `slot/${trainer}/${rolloutId}/${paddedSlot(slot)}`,
  readyOfTrainer: (trainer: string) => `ready/${trainer}/`,
  ready: (trainer: string, id: string) => `ready/${trainer}/${id}`,
  regenerateOfShard: (trainer: string, shard: number) => `regenerate/${trainer}/${shard}/`,
  regenerate: (trainer: string, shard: number, rolloutId: string, slot: number) =>
    `regenerate/${trainer}/${shard}/${rolloutId}/${paddedSlot(slot)}`,
  cursor: (trainer: string) => `cursor/${trainer}`,
  delivered: (trainer: string, sampleId: string) => `delivered/${trainer}/${sampleId}`,
  deliveredOfRollout: (trainer: string, rolloutId: string) => `delivered/${trainer}/${trainer}:${rolloutId}:`,
};

/** Parts of a sample ID. `generation` counts the expired samples of the slot. */
export interface SampleIdParts {
  readonly trainer: string;
  readonly rolloutId: string;
  readonly slot: number;
  readonly generation: number;
}

/** The ID of a sample. */
export function formatSampleId(parts: SampleIdParts): string {
  return `${parts.trainer}:${parts.rolloutId}:${parts.slot}:${parts.generation}`;
}

/** The parts of a sample ID, or `undefined` when the text is not one. */
export function parseSampleId(text: string): SampleIdParts | undefined {
  const [trainer, rolloutId, slot, generation, ...rest] = text.split(':');
  if (!trainer || !rolloutId || rest.length > 0) return undefined;
  if (!/^\d+$/.test(slot ?? '') || !/^\d+$/.test(generation ?? '')) return undefined;
  return { trainer, rolloutId, slot: Number(slot), generation: Number(generation) };
}

/** The oldest weight version among the segments. */
export function oldestVersion(segments: readonly Segment[]): number {
  return Math.min(...segments.map((segment) => segment.version));
}

/** Whether a version is at most `bound` versions behind `newest`. */
export function isWithinBound(version: number, newest: number, bound: number): boolean {
  return newest - version <= bound;
}
