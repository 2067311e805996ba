/**
 * Time of a call on its way between two nodes, by the clock of the store. A call is read late when its bytes
 * were retransmitted after a network partition, or while the reading process was paused.
 */
import type { DispatchMessage } from '../../../protocol/service/dispatch-peer.js';

/** Beyond it a call is not taken: callers of repeatable requests have left, others send it elsewhere. */
const MAX_TRANSIT_MS = 500;
/** Error of the nodes' estimates of the clock: a time on the way below it is not deducted. */
const CLOCK_ERROR_MS = 100;

/** Time that a message took to this node, milliseconds; `undefined` without a common clock. */
export function transitMsOf(
  { sentAtMs }: Pick<DispatchMessage, 'sentAtMs'>,
  storeTimeMs: number | undefined,
): number | undefined {
  if (sentAtMs === undefined || storeTimeMs === undefined) return undefined;
  return Math.max(0, storeTimeMs - sentAtMs);
}

/** Whether a call took so long that it must not be dispatched. */
export function isLate(transitMs: number): boolean {
  return transitMs > MAX_TRANSIT_MS;
}

/** Time to deduct from the remaining time of a call, milliseconds. */
export function deductibleMs(transitMs: number | undefined): number {
  return transitMs === undefined || transitMs < CLOCK_ERROR_MS ? 0 : transitMs;
}
