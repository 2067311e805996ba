/** Input and outcome of the request relay. */
import type { Route } from '../../../protocol/service/routing-configuration.js';
import type { RoutingSnapshot } from '../../../state/service/configuration/index.js';
import type { BufferedAnswer } from '../dispatch/index.js';

export interface RelayedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly tenant?: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  readonly route: Route;
  readonly snapshot: RoutingSnapshot;
  /** On the monotonic clock. */
  readonly deadlineMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Whether a second attempt may be sent while the first one has not responded. */
  readonly isHedged: boolean;
  /** 0 is the highest. */
  readonly priority: number;
  /** Flow that fair queueing charges for the use of replicas. */
  readonly flow: string;
  /** Background work yields to interactive requests. */
  readonly isBackground: boolean;
  /** Scoring call of a job, which is never quarantined. Default false. */
  readonly isJobWork?: boolean;
  /** Latency target as a time on the monotonic clock. */
  readonly targetAtMs: number;
  /** Job on whose behalf the request is sent. */
  readonly jobId?: string;
}

/** Outcome for the caller. `attempts` holds the IDs of the replicas that were used. */
export type RelayOutcome =
  | { readonly kind: 'answered'; readonly answer: BufferedAnswer; readonly attempts: readonly string[] }
  /** Did not run and will not run: safe to retry after `retryAfterMs`. */
  | {
      readonly kind: 'refused';
      readonly reason: string;
      readonly retryAfterMs: number;
      readonly attempts: readonly string[];
    }
  /** May have run: only safe to retry if the request may run more than once. */
  | {
      readonly kind: 'failed';
      readonly reason: string;
      readonly isTimeout: boolean;
      readonly attempts: readonly string[];
    }
  | { readonly kind: 'cancelled'; readonly attempts: readonly string[] };
