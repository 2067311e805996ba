/** A request on its way to some replica of a service, and what became of it. */
import type { ReplicaRequest } from '../../../protocol/service/replica.js';
import type { AttemptOutcome } from './replica-exchange.js';

/** A request for some replica of a service. Times are on the monotonic clock, milliseconds. */
export interface DispatchCall {
  readonly service: string;
  /** Which requests are alike in how long they take: the name of the route. */
  readonly workKind: string;
  readonly request: Omit<ReplicaRequest, 'remainingMs' | 'signal'>;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Who is charged for the use of replicas: a tenant, or a caller where there are none. */
  readonly flow: string;
  /** Whether it is work in the background, which gives way to callers. */
  readonly isBackground: boolean;
  /** When the answer is wanted, and when it is of no use any more. */
  readonly targetAtMs: number;
  readonly deadlineMs: number;
  /** Whether it is made beside another attempt: it takes a free place and a part of the budget, or is declined. */
  readonly isHedge: boolean;
  /** Whether it is made after another attempt: it takes a part of the budget. */
  readonly isRetry: boolean;
  /** Replicas that are not to be taken: it was sent to them already. */
  readonly excluded: ReadonlySet<string>;
  readonly configVersion: number;
  /** Aborted when nobody wants the answer any more. */
  readonly signal: AbortSignal;
  /**
   * Told `true` when the request is handed to a replica or to another node, from where on it may run, and `false` when that one has
   * certainly not run it and it waits here again. A request that was never handed over has not run.
   */
  readonly onHandOver?: (mayRun: boolean) => void;
}

/** A replica that a request was sent to. */
export interface UsedReplica {
  readonly id: string;
  readonly address: string;
}

/** How full the replicas of a service are, as the node knows that deals out their places. */
export interface ServiceCapacity {
  readonly free: number;
  readonly slots: number;
  readonly waiting: number;
}

/** What became of a call. */
export interface DispatchResult {
  readonly outcome: AttemptOutcome;
  /** The replica that has it or had it last; none where it was sent to none. */
  readonly replica?: UsedReplica;
  /** Whether the replica has ended under the request, not by plan. */
  readonly hasCrashedReplica: boolean;
  /** When it should come back where it has not run, milliseconds. */
  readonly retryAfterMs?: number;
  readonly capacity?: ServiceCapacity;
  /** Whether it was refused only because the node that it waited at deals out no places any more. */
  readonly isClosed?: boolean;
  /** Node that dealt with it, for the logs. */
  readonly via?: string;
}
