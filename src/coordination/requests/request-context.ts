/** What goes along with a request through the node. */
import { monotonicMs } from '../../common/clock.js';
import type { Principal } from '../../state/configuration/index.js';

/** A request that is being served. */
export interface RequestContext {
  readonly requestId: string;
  readonly principal: Principal;
  /** Aborted when the caller has gone or the deadline has passed. */
  readonly signal: AbortSignal;
  /** Deadline on the monotonic clock, milliseconds. */
  readonly deadlineMs: number;
}

/** Time left, milliseconds; never negative. */
export function timeLeftMs(context: RequestContext): number {
  return Math.max(0, context.deadlineMs - monotonicMs());
}

/** Whether the deadline has passed. */
export function isPastDeadline(context: RequestContext): boolean {
  return monotonicMs() >= context.deadlineMs;
}
