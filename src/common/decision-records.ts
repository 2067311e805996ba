/**
 * Structured log records: the inputs of each decision, their version or age, and the outcome. Keys ending in
 * `Ms` are milliseconds. Operators' tools read events and keys, so they keep their names; comments give the
 * term that the code uses.
 */

/** A caller's request was answered. */
export interface RequestAnswered {
  readonly event: 'request-answered';
  readonly requestId: string;
  readonly route: string;
  readonly status: number;
  /** `answered`, `cancelled`, or the reason of a rejection or failure. */
  readonly outcome: string;
  /** Number of attempts, and the replica ids, separated by commas. */
  readonly attempts: number;
  readonly replicas: string;
  readonly tookMs: number;
  /** Time until the caller's deadline, negative after it. */
  readonly leftMs: number;
  readonly configVersion: number;
  readonly tenant?: string;
  /** Hash of the request, equal for all its retries; logged for rejected and failed requests. */
  readonly digest?: string;
  readonly detail?: string;
}

/** An attempt at a replica ended, for a request or a job item. */
export interface AttemptEnded {
  readonly event: 'attempt-ended';
  readonly requestId: string;
  readonly jobId?: string;
  readonly group?: string;
  readonly service: string;
  readonly replica: string;
  /** HTTP status, or the kind of outcome. */
  readonly outcome: string;
  readonly detail?: string;
  /** Hash of the request, equal for all its retries; logged when the connection was lost. */
  readonly digest?: string;
  /** Whether the replica crashed; logged when the connection was lost. */
  readonly replicaEnded?: 'yes' | 'no';
  readonly tookMs: number;
  /** Time queued for a slot before the attempt. */
  readonly waitedMs?: number;
  /** Time on the way from the calling node to this dispatcher. */
  readonly transitMs?: number;
  /** Open requests from this node to the replica. */
  readonly inFlight: number;
  readonly configVersion: number;
}

/** A job API call was answered. */
export interface JobCallAnswered {
  readonly event: 'job-call-answered';
  readonly call: 'submit' | 'read' | 'item' | 'end';
  readonly jobId: string;
  readonly outcome: string;
  readonly tookMs: number;
  /** Position after which results were read. */
  readonly position?: number;
}

/** A job API call was forwarded to another node, because the store does not answer this one. */
export interface JobCallForwarded {
  readonly event: 'job-call-passed-on';
  readonly call: 'submit' | 'read' | 'item' | 'end';
  readonly jobId: string;
  /** `IP:PORT` of the other node. */
  readonly peer: string;
  /** `not served`: the store does not answer the other node either. */
  readonly outcome: 'answered' | 'not served';
  readonly tookMs: number;
}

/** The owner or state of a job changed, as read from the store. */
export interface JobChanged {
  readonly event: 'job-changed';
  readonly jobId: string;
  readonly change: string;
  /** `NODE/INCARNATION`, or `none`. */
  readonly owner: string;
  /** Increases with each owner; fences its writes. */
  readonly epoch: number;
  readonly recordVersion: number;
  readonly detail?: string;
}

/** An owner starts a job: the size of the job and the slots available to it. */
export interface JobPlanned {
  readonly event: 'job-planned';
  readonly jobId: string;
  readonly model: string;
  readonly minVersion: number;
  readonly items: number;
  /** Items of the largest group. */
  readonly groupSize: number;
  /** Number of complete groups that the submitter needs. */
  readonly wantedGroups: number;
  /** Items with published results from an earlier owner, and items with a saved partial text. */
  readonly listed: number;
  readonly keptTexts: number;
  /** Slots of all available replicas, and of those with an admissible weight version. */
  readonly slots: number;
  readonly fittingSlots: number;
  readonly ageMs: number;
}

/** A job item reached its outcome, or was delayed. */
export interface ItemChanged {
  readonly event: 'item-changed';
  readonly requestId: string;
  readonly jobId: string;
  readonly group: string;
  readonly change: string;
  /** Stream events generated so far, and the weight versions that produced them, separated by commas. */
  readonly events: number;
  readonly versions: string;
  readonly attempts: number;
  /** Time since the job was accepted. */
  readonly ageMs: number;
  readonly detail?: string;
}

/** An owner published results in the list that readers page through. */
export interface ResultsListed {
  readonly event: 'results-listed';
  readonly jobId: string;
  readonly firstPosition: number;
  readonly count: number;
  readonly outcome: string;
  readonly epoch: number;
  readonly tookMs: number;
}

/** The node's view of its fleet, replicas or configuration changed. */
export interface LocalViewChanged {
  readonly event: 'belief-changed';
  /** `home` is a dispatcher, `session` the liveness of a node. */
  readonly subject:
    | 'configuration'
    | 'replica'
    | 'zone'
    | 'home'
    | 'weight-version'
    | 'session'
    | 'feed'
    | 'peers'
    | 'record';
  readonly name: string;
  readonly change: string;
  /** Version of the underlying record or configuration; 0 without one. */
  readonly version: number;
}

/** A replica crashed while it executed a request: the quarantine decision. */
export interface QuarantineDecided {
  readonly event: 'request-suspected';
  readonly digest: string;
  /** Replica id, or name of the crash record. */
  readonly replica: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly source: 'here' | 'another node';
  /** `held`: quarantined. */
  readonly verdict: 'clear' | 'suspected' | 'held';
  /** Known replica crashes during the request, remaining quarantine, and time since the crash. */
  readonly ends: number;
  readonly holdMs: number;
  readonly ageMs: number;
}

/** Admission control of the dispatcher rejected a request, which was not executed. */
export interface RequestRejected {
  readonly event: 'request-refused';
  readonly requestId: string;
  readonly jobId?: string;
  readonly service: string;
  /** Flow: the tenant, or the caller without one. */
  readonly party: string;
  /** Priority. */
  readonly rank: number;
  readonly reason: string;
  /** Time queued, and time until the deadline. */
  readonly waitedMs: number;
  readonly leftMs: number;
  readonly retryAfterMs: number;
  /** Inputs of the decision: queue length, free slots and total slots. */
  readonly waiting: number;
  readonly free: number;
  readonly slots: number;
}

/** The leader lease of a singleton task was acquired, lost or used. */
export interface LeadershipChanged {
  readonly event: 'duty-changed';
  /** The singleton task. */
  readonly duty: string;
  readonly change: string;
  /** Epoch of the lease; increases with each holder. */
  readonly epoch: number;
  readonly detail?: string;
}

export interface LoadCommandSent {
  readonly event: 'order-given';
  readonly replica: string;
  readonly model: string;
  readonly version: number;
  readonly fencingToken: number;
  readonly outcome: string;
  readonly tookMs: number;
}

/** The final counts of a usage window were decided. */
export interface UsageDecided {
  readonly event: 'usage-decided';
  readonly window: number;
  readonly requests: number;
  readonly tenants: number;
  /** Number of nodes whose counts are missing, and the names of some of them. */
  readonly missingNodes: number;
  readonly missing: string;
  readonly decidedBy: string;
  readonly sinceEndMs: number;
}

export interface UsageReported {
  readonly event: 'usage-reported';
  readonly window: number;
  readonly fencingToken: number;
  readonly outcome: string;
  readonly sinceEndMs: number;
  readonly tookMs: number;
}

/** The process accepts requests; addresses are `IP:PORT`. */
export interface ProcessStarted {
  readonly event: 'process-started';
  readonly ingress: string;
  readonly readiness: string;
  readonly metrics: string;
  readonly detail: string;
}

/** The process is stopping, reloaded its settings, or lost or regained a dependency. */
export interface ProcessChanged {
  readonly event: 'process-changed';
  readonly change: string;
  readonly detail?: string;
}

/** Lines suppressed because their event exceeded its rate limit. */
export interface LinesSuppressed {
  readonly event: 'lines-left-out';
  readonly kind: string;
  readonly count: number;
}

export type DecisionRecord =
  | RequestAnswered
  | AttemptEnded
  | JobCallAnswered
  | JobCallForwarded
  | JobChanged
  | JobPlanned
  | ItemChanged
  | ResultsListed
  | LocalViewChanged
  | QuarantineDecided
  | RequestRejected
  | LeadershipChanged
  | LoadCommandSent
  | UsageDecided
  | UsageReported
  | ProcessStarted
  | ProcessChanged
  | LinesSuppressed;
