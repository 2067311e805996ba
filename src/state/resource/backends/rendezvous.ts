/** Rendezvous (highest random weight) hashing: which nodes are first in line for a thing, without a table. */
import { xxHash32 } from 'js-xxhash';

/** Members ordered by their weight for `subject`, the first in line first. */
export function rankByRendezvous(subject: string, memberIds: readonly string[]): string[] {
  const weighted = memberIds.map((id) => ({ id, weight: xxHash32(`${subject}|${id}`) }));
  weighted.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1));
  return weighted.map((one) => one.id);
}

/** A stable share of `subject` among `count` parts. */
export function partitionOf(subject: string, count: number): number {
  return xxHash32(subject) % count;
}
