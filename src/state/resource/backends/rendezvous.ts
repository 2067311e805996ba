/**
 * Unweighted rendezvous (highest random weight) hashing, by which nodes agree on a ranking without messages.
 * The weighted form in `src/state/service/replicas/dispatcher-selection.ts` ranks differently. Nodes of two
 * releases must agree during an update, so neither form may change.
 */
import { xxHash32 } from 'js-xxhash';

/** Members sorted by descending weight for `subject`. */
export function rankByRendezvous(subject: string, memberIds: readonly string[]): string[] {
  const weighted = memberIds.map((id) => ({ id, weight: xxHash32(`${subject}|${id}`) }));
  weighted.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1));
  return weighted.map((one) => one.id);
}

/** Partition of `subject`, from 0 to `count - 1`. */
export function partitionOf(subject: string, count: number): number {
  return xxHash32(subject) % count;
}
