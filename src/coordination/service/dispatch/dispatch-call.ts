/**
 * Calls to a service, their results and the capacity of the service, as used by queues and remote dispatch.
 */
import type { ReplicaRequest } from '../../../protocol/service/replica.js';
import type { AttemptOutcome } from './replica-exchange.js';

/** A request to any replica of a service. Times are monotonic, in milliseconds. */
export interface DispatchCall {
  readonly service: string;
  /** Key of the service time estimate: the name of the route. */
  readonly workKind: string;
  readonly request: Omit<ReplicaRequest, 'remainingMs' | 'signal'>;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Flow charged for the replica time: a tenant, or a caller if there are no tenants. */
  readonly flow: string;
  /** Whether it yields to interactive requests of the same priority. */
  readonly isBackground: boolean;
  /** Latency target, and the deadline after which the answer is useless. */
  readonly targetAtMs: number;
  readonly deadlineMs: number;
  /** Whether another attempt is running. A hedge needs a free slot and retry budget, or is declined. */
  readonly isHedge: boolean;
  /** Whether an earlier attempt reached a replica. A retry needs retry budget. */
  readonly isRetry: boolean;
  /** Ids of replicas already tried, used again only if there are no others. */
  readonly excluded: ReadonlySet<string>;
  readonly configVersion: number;
  /** Job on whose behalf the request is sent, such as a scoring call. */
  readonly jobId?: string;
  /** Time that the call took from another node to this one, milliseconds; `undefined` if unknown. */
  readonly transitMs?: number;
  /** Aborted when the caller no longer needs the answer. */
  readonly signal: AbortSignal;
  /**
   * Called with `true` when the request is passed to a replica or another node, where it may run, and with
   * `false` when it did not run there and is queued here again.
   */
  readonly onHandOver?: (mayRun: boolean) => void;
}

export interface AttemptedReplica {
  readonly id: string;
  /** `IP:PORT`. */
  readonly address: string;
}

/** Free and total slots of a service and the number of queued requests at its dispatcher. */
export interface ServiceCapacity {
  readonly free: number;
  readonly slots: number;
  readonly waiting: number;
}

export interface DispatchResult {
  readonly outcome: AttemptOutcome;
  /** The last replica that the request was sent to, if any. */
  readonly replica?: AttemptedReplica;
  /** Whether the replica crashed while it ran the request. A planned shutdown is not a crash. */
  readonly hasCrashedReplica: boolean;
  /** Retry-After of a rejected request, milliseconds. */
  readonly retryAfterMs?: number;
  readonly capacity?: ServiceCapacity;
  /** Whether the request was rejected because its dispatcher is shutting down. */
  readonly isLeaving?: boolean;
  /** Name of the dispatcher that returned the result. */
  readonly via?: string;
}

/** Result of a cancelled call. */
export const CANCELLED_RESULT: DispatchResult = { outcome: { kind: 'cancelled' }, hasCrashedReplica: false };
