/**
 * Row types, keys and sample IDs of the sample ledger in the table service.
 *
 * | key | value | lifecycle |
 * |---|---|---|
 * | `rollout/{trainer}/{rolloutId}` | RolloutRow | at submission, at cancellation |
 * | `open/{trainer}/{shard}/{rolloutId}` | OpenRow | at submission; deleted when all slots of the shard are committed |
 * | `slot/{trainer}/{rolloutId}/{slot}` | SlotRow | when a sample is committed or expires |
 * | `ready/{trainer}/{ulid}` | ReadySample | together with the slot row; deleted when drawn or expired |
 * | `regenerate/{trainer}/{shard}/{rolloutId}/{slot}` | RegenerateRow | when a sample expires; deleted when its replacement is committed |
 * | `cursor/{trainer}` | CursorRow | at each draw and acknowledgement |
 * | `delivered/{trainer}/{sampleId}` | DeliveredRow | when drawn |
 */
import type { Segment } from '../../../protocol/resource/trainer.js';

const SLOT_DIGITS = 7;

export interface RolloutRow {
  readonly state: 'open' | 'cancelled';
  readonly model: string;
  readonly slots: number;
  readonly samplesPerPrompt: number;
  readonly maxTokens: number;
  readonly seed: number;
  /** Name of the object with the prompts, a JSON array of strings. */
  readonly promptsObject: string;
  /** SHA-256 of the submission; distinguishes a retry from a conflicting submission. */
  readonly digest: string;
  readonly shards: number;
}

/** Lists a rollout as open work of a shard. */
export interface OpenRow {
  readonly rolloutId: string;
}

/** How a sample was generated; shown by `explain`. */
export interface SampleDecision {
  readonly requestId: string;
  readonly node: string;
  readonly epoch: number;
  readonly configRevision: number;
  readonly reason: string;
  readonly engines: readonly string[];
}

/** A sample discarded for exceeding the staleness bound; `oldest`, `newest` and `bound` are in versions. */
export interface ExpiredSample {
  readonly sampleId: string;
  readonly oldest: number;
  readonly newest: number;
  readonly bound: number;
}

/** Expired samples kept in a slot row; limits the row size. */
export const MAX_EXPIRED_SAMPLES = 8;

/** A slot; the stored state `won` means that its sample is committed. */
export interface SlotRow {
  readonly state: 'won' | 'regenerating';
  readonly generation: number;
  readonly sampleId: string;
  readonly segments: readonly Segment[];
  readonly decision: SampleDecision | null;
  /** Oldest first. */
  readonly expired: readonly ExpiredSample[];
}

/** A committed sample that is ready to be drawn. */
export interface ReadySample {
  readonly sampleId: string;
  readonly rolloutId: string;
  readonly slot: number;
  readonly generation: number;
  readonly shard: number;
  readonly model: string;
  readonly oldestVersion: number;
  readonly contentDigest: string;
  /** Name of the object with a JSON array of samples; `position` is the index of this sample. */
  readonly object: string;
  readonly position: number;
  /** Version of the slot row after the commit. */
  readonly slotVersion: number;
  readonly expired: readonly ExpiredSample[];
}

/** A slot whose sample expired and must be generated again. */
export interface RegenerateRow {
  readonly rolloutId: string;
  readonly slot: number;
  readonly generation: number;
  readonly slotVersion: number;
  readonly expired: readonly ExpiredSample[];
}

/** The current batch of a trainer. */
export interface CursorRow {
  readonly cursor: number;
  /** Sequence of the last request that received the batch; earlier ones are rejected. */
  readonly sequence: number;
  readonly attempt: number;
  readonly digest: string;
  readonly samples: readonly ReadySample[];
  readonly acknowledged: boolean;
  readonly checkedAgainst: Record<string, number>;
}

export interface DeliveredRow {
  readonly cursor: number;
}

const paddedSlot = (slot: number) => slot.toString().padStart(SLOT_DIGITS, '0');

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

/** `generation` is the number of earlier samples of the slot that expired. */
export interface SampleIdParts {
  readonly trainer: string;
  readonly rolloutId: string;
  readonly slot: number;
  readonly generation: number;
}

export function formatSampleId(parts: SampleIdParts): string {
  return `${parts.trainer}:${parts.rolloutId}:${parts.slot}:${parts.generation}`;
}

/** Returns `undefined` if the text is not a sample ID. */
export function parseSampleId(text: string): SampleIdParts | undefined {
  const [trainer, rolloutId, slot, generation, ...rest] = text.split(':');
  if (!trainer || !rolloutId || rest.length > 0) return undefined;
  if (!/^\d+$/.test(slot ?? '') || !/^\d+$/.test(generation ?? '')) return undefined;
  return { trainer, rolloutId, slot: Number(slot), generation: Number(generation) };
}

export function oldestVersion(segments: readonly Segment[]): number {
  return Math.min(...segments.map((segment) => segment.version));
}

/** Whether a version is at most `bound` versions behind `newest`. */
export function isWithinBound(version: number, newest: number, bound: number): boolean {
  return newest - version <= bound;
}
