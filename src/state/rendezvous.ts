/** Rendezvous (highest random weight) hashing: which nodes are first in line for a thing, without a table. */
import xxhash from 'xxhash-wasm';

const { h32 } = await xxhash();

/** Members ordered by their weight for `subject`, the first in line first. */
export function rankByRendezvous(subject: string, memberIds: readonly string[]): string[] {
  const weighted = memberIds.map((id) => ({ id, weight: h32(`${subject}|${id}`) }));
  weighted.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1));
  return weighted.map((one) => one.id);
}

/** A stable share of `subject` among `count` parts. */
export function partitionOf(subject: string, count: number): number {
  return h32(subject) % count;
}

/** A hash of a text, for comparing states. */
export function hashText(text: string): number {
  return h32(text);
}
