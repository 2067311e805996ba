/** Replicas of a service, and what can be asked of them. An adapter implements `ReplicaClient` for a wire format. */
import type { Readable } from 'node:stream';
import type { Result } from 'neverthrow';
import type { TransportError } from '../../transport/transport-error.js';

/** A replica as it announces itself. One that starts again may keep its `id`; `startedAtMs` tells its incarnations apart. */
export interface Replica {
  readonly id: string;
  /** When it started, by its own time of day, milliseconds since 1970; `undefined` where replicas don't say. */
  readonly startedAtMs: number | undefined;
  readonly service: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly zone: string;
  /** Requests it works on at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Time for which it is still slow after its start, as of the announcement, milliseconds. */
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
  /** Headers of the caller that are passed on as they are. */
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  /** Time that the replica may work on it, milliseconds. */
  readonly remainingMs: number;
  /** Tenant on whose behalf it runs; none where callers are not told apart. */
  readonly tenant?: string;
  /** Number of the last event that the caller has; the replica goes on after it. */
  readonly lastEventId?: string;
  /** Weight version that the replica must have. */
  readonly requiredVersion?: number;
  /** 0 to 9; 0 is the most urgent. */
  readonly priority?: number;
  /** Cancels the exchange, also while the body is read. */
  readonly signal: AbortSignal;
}

/** What a replica says of its load with an answer. */
export interface ReplicaLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes there now, in percent of the usual; `undefined` where it doesn't say. */
  readonly pacePercent: number | undefined;
}

/** The head of a replica's answer; `body` must be read or destroyed. */
export interface ReplicaAnswer {
  readonly status: number;
  /** Headers to pass on to the caller. */
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** True when the replica says that it did not run the request. */
  readonly isNotExecuted: boolean;
  /** True when the answer names the request that it answers, and that one is ours. */
  readonly isForRequest: boolean;
  /** True when the body is encoded, so that it cannot be the replica's own body. */
  readonly isEncoded: boolean;
  /** The replica's signature of the answer. */
  readonly signature: string | undefined;
  readonly weightVersion: number | undefined;
  readonly retryAfterMs: number | undefined;
  /** What the replica says of its load, where it does. */
  readonly load: ReplicaLoad | undefined;
  /** False when the answer ends with its connection: whether it is whole cannot be told then. */
  readonly isFramed: boolean;
  readonly body: Readable;
}

/** What a model replica tells of itself. */
export interface ReplicaReport {
  /** Start of the life that reports, as in `Replica`. */
  readonly startedAtMs: number | undefined;
  readonly modelVersions: ReadonlyMap<string, number>;
  /** Whether an order is under way. */
  readonly isBusy: boolean;
  /** Orders taken since its start. */
  readonly commandCount: number;
  readonly waiting: number;
  readonly running: number;
}

/** What happens to requests that run while a version is loaded. */
export type LoadMode = 'wait' | 'truncate' | 'retain';

/** An order to load a version. */
export interface LoadCommand {
  readonly model: string;
  readonly version: number;
  readonly mode: LoadMode;
  /** Name of the machine that gives the order. */
  readonly holder: string;
  /** Rises with each change of the holder. */
  readonly fencingToken: number;
  /** The order is void unless the replica has taken this number of orders. */
  readonly expectedCommandCount: number;
}

/** What became of an order. */
export type CommandOutcome = 'accepted' | 'already-loaded' | 'conflict' | 'fenced-off' | 'rejected';

/** Client of replicas. No call is ever repeated by it. */
export interface ReplicaClient {
  /** Name of the line of an event that tells a change of the weight version. */
  readonly eventVersionField: string;
  dispatch(replica: Replica, request: ReplicaRequest): Promise<Result<ReplicaAnswer, TransportError>>;
  report(replica: Replica, timeoutMs: number): Promise<Result<ReplicaReport, TransportError>>;
  load(
    replica: Replica,
    order: LoadCommand,
    timeoutMs: number,
  ): Promise<Result<CommandOutcome, TransportError>>;
}
