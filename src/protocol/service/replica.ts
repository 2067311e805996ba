/** Replicas of a service and their client; an adapter implements `ReplicaClient` for a wire format. */
import type { Readable } from 'node:stream';
import type { Result } from 'neverthrow';
import type { TransportError } from '../../transport/transport-error.js';

/** A replica as announced. A restarted one may keep its `id`; `startedAtMs` tells incarnations apart. */
export interface Replica {
  readonly id: string;
  /** Start by its own time of day, milliseconds since 1970; `undefined` where it is not announced. */
  readonly startedAtMs: number | undefined;
  readonly service: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly zone: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Remaining slow start as of the announcement, milliseconds. */
  readonly slowStartMs: number;
  /** Weight version by model; empty for application services. */
  readonly modelVersions: ReadonlyMap<string, number>;
}

/** A request for a replica. Header names are in lower case. */
export interface ReplicaRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  /** Headers of the caller that are forwarded unchanged. */
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  /** Time until the deadline, milliseconds. */
  readonly remainingMs: number;
  /** Tenant on whose behalf it runs; none where there are no tenants. */
  readonly tenant?: string;
  /** Number of the last event that the caller has; the replica continues after it. */
  readonly lastEventId?: string;
  /** Weight version that the replica must have. */
  readonly requiredVersion?: number;
  /** 0 to 9; 0 is the most urgent. */
  readonly priority?: number;
  /** Cancels the request, also while the answer's body is read. */
  readonly signal: AbortSignal;
}

/** Load that a replica reports with an answer. */
export interface ReplicaLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Service time in percent of the usual one; `undefined` where it is not reported. */
  readonly serviceTimePercent: number | undefined;
}

/** The head of a replica's answer; `body` must be read or destroyed. */
export interface ReplicaAnswer {
  readonly status: number;
  /** Headers to forward to the caller. */
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Whether the replica states that it did not run the request. */
  readonly isNotExecuted: boolean;
  /** Whether the answer names the request that was sent. */
  readonly matchesRequest: boolean;
  /** Whether the body is encoded, so that it cannot be the replica's own. */
  readonly isEncoded: boolean;
  /** The replica's signature of the answer. */
  readonly signature: string | undefined;
  readonly weightVersion: number | undefined;
  readonly retryAfterMs: number | undefined;
  /** Reported load, where there is any. */
  readonly load: ReplicaLoad | undefined;
  /** False when the answer ends with its connection, so that it may be incomplete. */
  readonly isFramed: boolean;
  readonly body: Readable;
}

/** Report of a model replica. */
export interface ReplicaReport {
  /** Start of the incarnation, as in `Replica`. */
  readonly startedAtMs: number | undefined;
  readonly modelVersions: ReadonlyMap<string, number>;
  /** Whether a load command is being executed. */
  readonly isBusy: boolean;
  /** Load commands accepted since its start. */
  readonly commandCount: number;
  readonly waiting: number;
  readonly running: number;
}

/** What happens to running requests when a version is loaded. */
export type LoadMode = 'wait' | 'truncate' | 'retain';

/** A command to load a weight version. */
export interface LoadCommand {
  readonly model: string;
  readonly version: number;
  readonly mode: LoadMode;
  /** Name of the node that sends it, the leader. */
  readonly holder: string;
  /** Rises with each change of the leader. */
  readonly fencingToken: number;
  /** Rejected as `conflict` unless the replica's `commandCount` is this. */
  readonly expectedCommandCount: number;
}

export type CommandOutcome = 'accepted' | 'already-loaded' | 'conflict' | 'fenced-off' | 'rejected';

/** Client of replicas. Never repeats a call. */
export interface ReplicaClient {
  /** Name of the event field that announces a change of the weight version. */
  readonly eventVersionField: string;
  dispatch(replica: Replica, request: ReplicaRequest): Promise<Result<ReplicaAnswer, TransportError>>;
  report(replica: Replica, timeoutMs: number): Promise<Result<ReplicaReport, TransportError>>;
  load(
    replica: Replica,
    command: LoadCommand,
    timeoutMs: number,
  ): Promise<Result<CommandOutcome, TransportError>>;
}
