/**
 * Time of a call on its way between two nodes, by the clock of the store. A call is read late when its bytes
 * were retransmitted after a network partition, or while the reading process was paused.
 */
import type { DispatchMessage } from '../../../protocol/service/dispatch-peer.js';

/** Beyond it a call is not taken: callers of repeatable requests have left, others send it elsewhere. */
const MAX_TRANSIT_MS = 500;

/**
 * Time that a message took to this node at least, milliseconds; `undefined` without a common clock. The sender
 * tells the latest time at which it may have sent the message, and `earliestMs` is the earliest time now.
 */
export function transitMsOf(
  { sentAtMs }: Pick<DispatchMessage, 'sentAtMs'>,
  earliestMs: number | undefined,
): number | undefined {
  if (sentAtMs === undefined || earliestMs === undefined) return undefined;
  return Math.max(0, earliestMs - sentAtMs);
}

/** Whether a call took so long that it must not be dispatched. */
export function isLate(transitMs: number): boolean {
  return transitMs > MAX_TRANSIT_MS;
}
