/** A request that the relay runs, and the outcomes that its caller can get. */
import type { Route } from '../../../protocol/service/routing-configuration.js';
import type { RoutingSnapshot } from '../../../state/service/configuration/index.js';
import type { BufferedAnswer } from '../dispatch/index.js';

/** A request to relay. */
export interface RelayedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  /** Tenant on whose behalf it runs, if any. */
  readonly tenant?: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  readonly route: Route;
  readonly snapshot: RoutingSnapshot;
  /** Time on the monotonic clock until which the caller waits, milliseconds. */
  readonly deadlineMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Whether a hedge may be sent while the first attempt is silent. */
  readonly isHedged: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Flow that fair queueing charges for its use of replicas. */
  readonly flow: string;
  /** Whether it is background work, which yields to interactive requests. */
  readonly isBackground: boolean;
  /** Latency target: time on the monotonic clock at which the answer is wanted, milliseconds. */
  readonly targetAtMs: number;
}

/** What the caller gets. `attempts` are the IDs of the replicas that were used. */
export type RelayOutcome =
  | { readonly kind: 'answered'; readonly answer: BufferedAnswer; readonly attempts: readonly string[] }
  /** Did not run and will not run: any request may be retried after `retryAfterMs` milliseconds. */
  | {
      readonly kind: 'refused';
      readonly reason: string;
      readonly retryAfterMs: number;
      readonly attempts: readonly string[];
    }
  /** May have run: only a request that may run twice can be retried. */
  | {
      readonly kind: 'failed';
      readonly reason: string;
      readonly isTimeout: boolean;
      readonly attempts: readonly string[];
    }
  | { readonly kind: 'cancelled'; readonly attempts: readonly string[] };
