/** Whether a request that a replica has declined, so that it has not run, goes back to the queue. Pure. */

/**
 * Declines after which a request is returned as declined. Each one makes its replica back off, so this bounds
 * what a request costs replicas that others fill. Chosen, not measured: at 4 requests with time left were
 * rejected while two nodes dispatched for one service.
 */
const MAX_DECLINES = 16;

/** Inputs of the decision. */
export interface DeclinedRequest {
  /** Declines of this request so far, the last one included. */
  readonly declines: number;
  readonly isHedge: boolean;
  /** Whether its caller has cancelled it. */
  readonly isCancelled: boolean;
}

/** Hedges never queue, and a cancelled request needs no further attempt. */
export function mayRequeue({ declines, isHedge, isCancelled }: DeclinedRequest): boolean {
  return !isHedge && !isCancelled && declines < MAX_DECLINES;
}
