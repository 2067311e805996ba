/**
 * Rendezvous (highest random weight) hashing: nodes agree on a ranking without a message. Unweighted, over
 * whole IDs: `src/state/service/replicas/dispatcher-selection.ts` divides the hash's logarithm by the
 * member's capacity. The rankings differ, and nodes of two releases must agree during an update, so neither
 * form may change.
 */
import { xxHash32 } from 'js-xxhash';

/** Members by descending weight for `subject`. */
export function rankByRendezvous(subject: string, memberIds: readonly string[]): string[] {
  const weighted = memberIds.map((id) => ({ id, weight: xxHash32(`${subject}|${id}`) }));
  weighted.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1));
  return weighted.map((one) => one.id);
}

/** The partition of `subject`, from 0 up to `count` exclusive. */
export function partitionOf(subject: string, count: number): number {
  return xxHash32(subject) % count;
}
