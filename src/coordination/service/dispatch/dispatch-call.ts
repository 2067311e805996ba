/** A request for some replica of a service, and its result, in the queue and in remote dispatch. */
import type { ReplicaRequest } from '../../../protocol/service/replica.js';
import type { AttemptOutcome } from './replica-exchange.js';

/** A request for some replica of a service. Times are on the monotonic clock, milliseconds. */
export interface DispatchCall {
  readonly service: string;
  /** Requests of one kind are expected to take equally long: the name of the route. */
  readonly workKind: string;
  readonly request: Omit<ReplicaRequest, 'remainingMs' | 'signal'>;
  /** 0 is the most urgent; counts upwards. */
  readonly priority: number;
  /** Charged for the use of replicas: a tenant, or a caller where there are no tenants. */
  readonly flow: string;
  /** Whether it yields to interactive requests of its priority. */
  readonly isBackground: boolean;
  /** Latency target, and deadline: when the answer is wanted, and when it is of no more use. */
  readonly targetAtMs: number;
  readonly deadlineMs: number;
  /** Whether another attempt of it runs: it takes a free slot and retry budget, or is declined. */
  readonly isHedge: boolean;
  /** Whether an earlier attempt reached a replica: it takes retry budget. */
  readonly isRetry: boolean;
  /** Ids of replicas that it was sent to before; used only when there are no others. */
  readonly excluded: ReadonlySet<string>;
  readonly configVersion: number;
  /** Aborted when nobody wants the answer any more. */
  readonly signal: AbortSignal;
  /**
   * Called with `true` when the request is handed to a replica or to another node, where it may run, and with
   * `false` when it has not run there and is queued here again. Without a call it has not run.
   */
  readonly onHandOver?: (mayRun: boolean) => void;
}

/** A replica that a request was sent to. */
export interface AttemptedReplica {
  readonly id: string;
  /** `IP:PORT`. */
  readonly address: string;
}

/** Slots of a service and queued requests, as its dispatcher sees them. */
export interface ServiceCapacity {
  readonly free: number;
  readonly slots: number;
  readonly waiting: number;
}

/** The result of a call. */
export interface DispatchResult {
  readonly outcome: AttemptOutcome;
  /** The last replica that it was sent to; none where it was sent to none. */
  readonly replica?: AttemptedReplica;
  /** Whether the replica has crashed while it ran the request; a planned end is none. */
  readonly hasCrashedReplica: boolean;
  /** Retry-After of a request that has not run, milliseconds. */
  readonly retryAfterMs?: number;
  readonly capacity?: ServiceCapacity;
  /** Whether it was rejected only because its dispatcher is leaving. */
  readonly isLeaving?: boolean;
  /** Name of the dispatcher, for the logs. */
  readonly via?: string;
}

/** The result of a call that its caller has cancelled. */
export const CANCELLED_RESULT: DispatchResult = { outcome: { kind: 'cancelled' }, hasCrashedReplica: false };
