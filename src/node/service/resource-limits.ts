/** How many connections a node takes, from the memory and descriptors of its machine. */

/** Parts of the descriptors; the rest is for the store, replicas, connections to peers, and files. */
const CALLER_DESCRIPTOR_FRACTION = 0.5;
const PEER_DESCRIPTOR_FRACTION = 0.2;
/** Part of the memory that the heads of requests may take. */
const HEAD_MEMORY_FRACTION = 0.1;
/** What a connection holds while its head comes. */
const HEAD_BYTES = 16 * 1024;

/** Maximum connections by listener. */
export interface ConnectionLimits {
  readonly callers: number;
  readonly peers: number;
}

export function connectionLimitsOf(maxDescriptors: number, memoryBytes: number): ConnectionLimits {
  const heads = (memoryBytes * HEAD_MEMORY_FRACTION) / HEAD_BYTES;
  return {
    callers: Math.ceil(Math.min(maxDescriptors * CALLER_DESCRIPTOR_FRACTION, heads)),
    peers: Math.ceil(maxDescriptors * PEER_DESCRIPTOR_FRACTION),
  };
}
