/** What a node may hold for others and how many connections it takes, from the memory and descriptors of its machine. */
import type { MemoryLimits } from '../transport/memory-budget.js';

/** What a node without requests takes beyond the memory at its start. */
const STARTED_MEMORY_BYTES = 16 * 1024 * 1024;
/** Part of the memory that is taken for free on a machine that has less than an idle node needs. */
const MIN_FREE_FRACTION = 0.25;
/** Parts of the free memory; the rest is for the heap, buffers of the allocator, and chunks that are being read. */
const HELD_FRACTION = 0.4;
const RESERVED_FRACTION = 0.08;
const GARBAGE_FRACTION = 0.15;
const YOUNG_GARBAGE_FRACTION = 0.05;

/** Parts of the descriptors; the rest is for the store, replicas, connections to peers, and files. */
const CALLER_DESCRIPTOR_FRACTION = 0.45;
const PEER_DESCRIPTOR_FRACTION = 0.3;
/** Part of the memory that the heads of requests may take. */
const HEAD_MEMORY_FRACTION = 0.1;
/** What a connection holds while its head comes. */
const HEAD_BYTES = 16 * 1024;

/** Maximum connections by listener. */
export interface ConnectionLimits {
  readonly callers: number;
  readonly peers: number;
}

/** `startBytes` is the resident memory of the process at its start. */
export function memoryLimitsOf(memoryBytes: number, startBytes: number): MemoryLimits {
  const idleBytes = startBytes + STARTED_MEMORY_BYTES;
  const freeBytes = Math.max(memoryBytes - idleBytes, memoryBytes * MIN_FREE_FRACTION);
  return {
    heldBytes: freeBytes * HELD_FRACTION,
    reservedBytes: freeBytes * RESERVED_FRACTION,
    garbageBytes: freeBytes * GARBAGE_FRACTION,
    youngGarbageBytes: freeBytes * YOUNG_GARBAGE_FRACTION,
  };
}

/** Maximum connections to each listener of a node on such a machine. */
export function connectionLimitsOf(maxDescriptors: number, memoryBytes: number): ConnectionLimits {
  const heads = (memoryBytes * HEAD_MEMORY_FRACTION) / HEAD_BYTES;
  return {
    callers: Math.ceil(Math.min(maxDescriptors * CALLER_DESCRIPTOR_FRACTION, heads)),
    peers: Math.ceil(maxDescriptors * PEER_DESCRIPTOR_FRACTION),
  };
}
