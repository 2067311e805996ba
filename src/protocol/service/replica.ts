/** Replicas of a service and their client. An adapter implements `ReplicaClient` for a wire format. */
import type { Readable } from 'node:stream';
import type { Result } from 'neverthrow';
import type { TransportError } from '../../transport/transport-error.js';

/** An announced replica. It may keep its `id` after a restart; `startedAtMs` distinguishes incarnations. */
export interface Replica {
  readonly id: string;
  /** Start time by the replica's clock, milliseconds since the Unix epoch; `undefined` if not announced. */
  readonly startedAtMs: number | undefined;
  readonly service: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly zone: string;
  /** Number of requests that run concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Remaining time of the slow start at the announcement, milliseconds. */
  readonly slowStartMs: number;
  /** Weight version by model; empty for application services. */
  readonly modelVersions: ReadonlyMap<string, number>;
}

export interface ReplicaRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  /** Headers to forward unchanged; names are in lower case. */
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  /** Time until the deadline, milliseconds. */
  readonly remainingMs: number;
  /** Tenant on whose behalf the request runs; absent where there are no tenants. */
  readonly tenant?: string;
  /** ID of the last event that the caller has received; the replica continues after it. */
  readonly lastEventId?: string;
  /** Weight version that the replica must have. */
  readonly requiredVersion?: number;
  /** 0 to 9; 0 is the most urgent. */
  readonly priority?: number;
  /** Cancels the request, also while the body of the answer is read. */
  readonly signal: AbortSignal;
}

/** Load of a replica, as reported with an answer. */
export interface ReplicaLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Service time in percent of the usual one; `undefined` if not reported. */
  readonly serviceTimePercent: number | undefined;
}

/** An answer of a replica. `body` must be read or destroyed. */
export interface ReplicaAnswer {
  readonly status: number;
  /** Headers to forward to the caller. */
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Whether the replica states that it did not run the request. */
  readonly isNotExecuted: boolean;
  /**
   * Whether the request named a weight version and was declined, probably since the replica has another one: the
   * same status also says that another replica has the address.
   */
  readonly isVersionMismatch: boolean;
  /** Whether the answer carries the ID of the request. */
  readonly matchesRequest: boolean;
  /** Whether the body has a content encoding; replicas never encode, so an intermediary answered. */
  readonly isEncoded: boolean;
  /** The replica's signature of the answer. */
  readonly signature: string | undefined;
  readonly weightVersion: number | undefined;
  readonly retryAfterMs: number | undefined;
  /** `undefined` if not reported. */
  readonly load: ReplicaLoad | undefined;
  /** False if the body ends with the connection, so that it may be truncated. */
  readonly isFramed: boolean;
  readonly body: Readable;
}

/** Status report of a model replica. */
export interface ReplicaReport {
  /** As in `Replica`. */
  readonly startedAtMs: number | undefined;
  readonly modelVersions: ReadonlyMap<string, number>;
  /** Whether a load command is being executed. */
  readonly isBusy: boolean;
  /** Number of load commands accepted since the start. */
  readonly commandCount: number;
  readonly waiting: number;
  readonly running: number;
}

/** Handling of running requests while a version is loaded. */
export type LoadMode = 'wait' | 'truncate' | 'retain';

export interface LoadCommand {
  readonly model: string;
  readonly version: number;
  readonly mode: LoadMode;
  /** Name of the sending node, the leader. */
  readonly holder: string;
  /** Increases with each change of the leader. */
  readonly fencingToken: number;
  /** The replica rejects the command as `conflict` if its `commandCount` differs. */
  readonly expectedCommandCount: number;
}

export type CommandOutcome = 'accepted' | 'already-loaded' | 'conflict' | 'fenced-off' | 'rejected';

/** Never retries a call. */
export interface ReplicaClient {
  /** Name of the event field that carries a change of the weight version. */
  readonly eventVersionField: string;
  dispatch(replica: Replica, request: ReplicaRequest): Promise<Result<ReplicaAnswer, TransportError>>;
  report(replica: Replica, timeoutMs: number): Promise<Result<ReplicaReport, TransportError>>;
  load(
    replica: Replica,
    command: LoadCommand,
    timeoutMs: number,
  ): Promise<Result<CommandOutcome, TransportError>>;
}
