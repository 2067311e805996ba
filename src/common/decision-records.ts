/**
 * Structured log records: the inputs of each decision, their version or age, and the outcome. Keys that end in
 * `Ms` are milliseconds. Operators' tools read events and keys, which stay; a comment gives the code's term.
 */

/** A caller's request was answered. */
export interface RequestAnswered {
  readonly event: 'request-answered';
  readonly requestId: string;
  readonly route: string;
  readonly status: number;
  /** `answered`, `cancelled`, or the reason of a rejection or failure. */
  readonly outcome: string;
  /** Attempts at replicas, and the ids of these, joined by commas. */
  readonly attempts: number;
  readonly replicas: string;
  readonly tookMs: number;
  /** Time until the caller's deadline, negative after it. */
  readonly leftMs: number;
  readonly configVersion: number;
  readonly tenant?: string;
  /** Identifies the request over all its repeats; logged of rejected and failed ones. */
  readonly digest?: string;
  readonly detail?: string;
}

/** An attempt at a replica ended: of a request, or of a job's item. */
export interface AttemptEnded {
  readonly event: 'attempt-ended';
  readonly requestId: string;
  readonly jobId?: string;
  readonly group?: string;
  readonly service: string;
  readonly replica: string;
  /** Status of the answer, or the kind of outcome. */
  readonly outcome: string;
  readonly detail?: string;
  /** Identifies the request over all its repeats; logged when the connection broke. */
  readonly digest?: string;
  /** Whether the replica crashed; logged when the connection broke. */
  readonly replicaEnded?: 'yes' | 'no';
  readonly tookMs: number;
  /** Time in the queue for a slot before the attempt. */
  readonly waitedMs?: number;
  /** Requests of this node at the replica. */
  readonly inFlight: number;
  readonly configVersion: number;
}

/** A call about a batch job was answered. */
export interface JobCallAnswered {
  readonly event: 'job-call-answered';
  readonly call: 'submit' | 'read' | 'item' | 'end';
  readonly jobId: string;
  readonly outcome: string;
  readonly tookMs: number;
  /** Position after which results were read. */
  readonly position?: number;
}

/** A call about a batch job was forwarded to another node, because the store does not answer this one. */
export interface JobCallForwarded {
  readonly event: 'job-call-passed-on';
  readonly call: 'submit' | 'read' | 'item' | 'end';
  readonly jobId: string;
  /** `IP:PORT` of the other node. */
  readonly peer: string;
  /** `not served`: the other node has no answer of the store either. */
  readonly outcome: 'answered' | 'not served';
  readonly tookMs: number;
}

/** The owner or state of a job changed, as this node read it from the store. */
export interface JobChanged {
  readonly event: 'job-changed';
  readonly jobId: string;
  readonly change: string;
  /** `NODE/INCARNATION`, or `none`. */
  readonly owner: string;
  /** Rises with each owner; the fence of its writes. */
  readonly epoch: number;
  readonly recordVersion: number;
  readonly detail?: string;
}

/** An owner starts a job: its size, and the slots available to it. */
export interface JobPlanned {
  readonly event: 'job-planned';
  readonly jobId: string;
  readonly model: string;
  readonly minVersion: number;
  readonly items: number;
  /** Items of the largest group. */
  readonly groupSize: number;
  /** Whole groups that the submitter needs. */
  readonly wantedGroups: number;
  /** Items that an earlier owner has listed, and items with a saved partial text. */
  readonly listed: number;
  readonly keptTexts: number;
  /** Slots of all available replicas, and of those whose weight version is admissible. */
  readonly slots: number;
  readonly fittingSlots: number;
  readonly ageMs: number;
}

/** An item of a job reached its outcome, or an event delayed it. */
export interface ItemChanged {
  readonly event: 'item-changed';
  readonly requestId: string;
  readonly jobId: string;
  readonly group: string;
  readonly change: string;
  /** Events of its text so far, and the weight versions that produced them, joined by commas. */
  readonly events: number;
  readonly versions: string;
  readonly attempts: number;
  /** Since the job was accepted. */
  readonly ageMs: number;
  readonly detail?: string;
}

/** An owner wrote results to the list that readers page through. */
export interface ResultsListed {
  readonly event: 'results-listed';
  readonly jobId: string;
  readonly firstPosition: number;
  readonly count: number;
  readonly outcome: string;
  readonly epoch: number;
  readonly tookMs: number;
}

/** What the node takes for true of its fleet, its replicas or the configuration changed. */
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
    | 'peers';
  readonly name: string;
  readonly change: string;
  /** Version of the record or configuration that it rests on; 0 where there is none. */
  readonly version: number;
}

/** A replica crashed while it ran a request: the quarantine decision for this request. */
export interface QuarantineDecided {
  readonly event: 'request-suspected';
  readonly digest: string;
  /** The replica, or the name of the crash record. */
  readonly replica: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly source: 'here' | 'another node';
  /** `held`: quarantined. */
  readonly verdict: 'clear' | 'suspected' | 'held';
  /** Known crashes of replicas under it; time of quarantine from now on; time since the crash. */
  readonly ends: number;
  readonly holdMs: number;
  readonly ageMs: number;
}

/** Admission control rejected a request at the dispatcher of its service. It has not run. */
export interface RequestRejected {
  readonly event: 'request-refused';
  readonly requestId: string;
  readonly service: string;
  /** Its flow: the tenant, else the caller. */
  readonly party: string;
  /** Its priority. */
  readonly rank: number;
  readonly reason: string;
  /** Time in the queue, and until its deadline. */
  readonly waitedMs: number;
  readonly leftMs: number;
  readonly retryAfterMs: number;
  /** Inputs of the decision: queue length, free slots, all slots. */
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
  /** Of the lease; rises with each holder. */
  readonly epoch: number;
  readonly detail?: string;
}

/** A load command was sent to a replica. */
export interface LoadCommandSent {
  readonly event: 'order-given';
  readonly replica: string;
  readonly model: string;
  readonly version: number;
  readonly fencingToken: number;
  readonly outcome: string;
  readonly tookMs: number;
}

/** The counts that are reported of a usage window were decided. */
export interface UsageDecided {
  readonly event: 'usage-decided';
  readonly window: number;
  readonly requests: number;
  readonly tenants: number;
  /** Nodes whose counts are missing, and the names of a few of them. */
  readonly missingNodes: number;
  readonly missing: string;
  /** Node that decided. */
  readonly decidedBy: string;
  /** Time since the end of the window. */
  readonly sinceEndMs: number;
}

/** A usage report was sent. */
export interface UsageReported {
  readonly event: 'usage-reported';
  readonly window: number;
  readonly fencingToken: number;
  readonly outcome: string;
  readonly sinceEndMs: number;
  readonly tookMs: number;
}

/** The process accepts requests. */
export interface ProcessStarted {
  readonly event: 'process-started';
  /** Addresses, `IP:PORT`. */
  readonly ingress: string;
  readonly readiness: string;
  readonly metrics: string;
  readonly detail: string;
}

/** The process stops, has reloaded its settings, or lost or regained a dependency. */
export interface ProcessChanged {
  readonly event: 'process-changed';
  readonly change: string;
  readonly detail?: string;
}

/** Lines that were not written, because their event exceeded its rate limit. */
export interface LinesSuppressed {
  readonly event: 'lines-left-out';
  readonly kind: string;
  readonly count: number;
}

/** Every record. */
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
