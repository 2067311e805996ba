/**
 * Structured log records: one line for each decision that touches a request or changes what the process believes.
 * Every record names the inputs of the decision, their version or age, and the outcome. Fields that end in `Ms` are
 * milliseconds.
 */

/** A request was answered. */
export interface RequestAnswered {
  readonly event: 'request-answered';
  readonly requestId: string;
  readonly route: string;
  readonly status: number;
  readonly outcome: string;
  readonly attempts: number;
  readonly replicas: string;
  readonly tookMs: number;
  readonly leftMs: number;
  readonly configVersion: number;
  /** Tenant on whose behalf it was sent. */
  readonly tenant?: string;
  /** The same for all tries of one request; told of those that a replica left without an answer, and of refusals. */
  readonly digest?: string;
  readonly detail?: string;
}

/** A request was sent to a replica and came back. */
export interface AttemptEnded {
  readonly event: 'attempt-ended';
  readonly requestId: string;
  readonly jobId?: string;
  readonly group?: string;
  readonly service: string;
  readonly replica: string;
  readonly outcome: string;
  readonly detail?: string;
  /** The same for all tries of one request; told when the connection broke under it. */
  readonly digest?: string;
  /** Whether the replica was found to have ended; told when the connection broke. */
  readonly replicaEnded?: 'yes' | 'no';
  readonly tookMs: number;
  /** Time that the request waited for a slot at a replica before. */
  readonly waitedMs?: number;
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
  readonly position?: number;
}

/** A call about a batch job was passed on to another node, because the store does not serve this one. */
export interface JobCallPassedOn {
  readonly event: 'job-call-passed-on';
  readonly call: 'submit' | 'read' | 'item' | 'end';
  readonly jobId: string;
  /** `IP:PORT` of the other node. */
  readonly peer: string;
  readonly outcome: 'answered' | 'not served';
  readonly tookMs: number;
}

/** A job changed its owner or state in the eyes of this node. */
export interface JobChanged {
  readonly event: 'job-changed';
  readonly jobId: string;
  readonly change: string;
  readonly owner: string;
  readonly epoch: number;
  readonly recordVersion: number;
  readonly detail?: string;
}

/** An owner begins to run a job: what is asked, and what there is to run it on. */
export interface JobPlanned {
  readonly event: 'job-planned';
  readonly jobId: string;
  readonly model: string;
  readonly minVersion: number;
  readonly items: number;
  /** Items of the largest group. */
  readonly groupSize: number;
  /** Whole groups that the submitter waits for. */
  readonly wantedGroups: number;
  /** Items that an earlier owner has listed, and texts that were kept. */
  readonly listed: number;
  readonly keptTexts: number;
  /** Requests that all available replicas run at once. */
  readonly slots: number;
  /** Slots of the replicas whose version fits. */
  readonly fittingSlots: number;
  readonly ageMs: number;
}

/** An item of a job reached its outcome, or lost time. */
export interface ItemChanged {
  readonly event: 'item-changed';
  readonly requestId: string;
  readonly jobId: string;
  readonly group: string;
  readonly change: string;
  readonly events: number;
  readonly versions: string;
  readonly attempts: number;
  readonly ageMs: number;
  readonly detail?: string;
}

/** Results were listed. */
export interface ResultsListed {
  readonly event: 'results-listed';
  readonly jobId: string;
  readonly firstPosition: number;
  readonly count: number;
  readonly outcome: string;
  readonly epoch: number;
  readonly tookMs: number;
}

/** The node's belief about configuration or replicas changed. */
export interface BeliefChanged {
  readonly event: 'belief-changed';
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
  readonly version: number;
}

/** A replica has ended under a request; what follows for the request. */
export interface RequestSuspected {
  readonly event: 'request-suspected';
  readonly digest: string;
  /** The replica, or the name of the record that told of it. */
  readonly replica: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly source: 'here' | 'another node';
  readonly verdict: 'clear' | 'suspected' | 'held';
  /** Replicas that have ended under it, as far as this node knows. */
  readonly ends: number;
  /** How long it is held from now on. */
  readonly holdMs: number;
  /** Time since the end of the replica. */
  readonly ageMs: number;
}

/** A request was refused by the node that deals out the places of its service's replicas, before it ran. */
export interface RequestRefused {
  readonly event: 'request-refused';
  readonly requestId: string;
  readonly service: string;
  /** Who is charged for its use. */
  readonly party: string;
  readonly rank: number;
  readonly reason: string;
  readonly waitedMs: number;
  readonly leftMs: number;
  readonly retryAfterMs: number;
  /** What it was compared with: requests that wait, and places that are free, of all. */
  readonly waiting: number;
  readonly free: number;
  readonly slots: number;
}

/** A duty was taken, lost or carried out. */
export interface LeadershipChanged {
  readonly event: 'duty-changed';
  readonly duty: string;
  readonly change: string;
  readonly epoch: number;
  readonly detail?: string;
}

/** An order was given to a replica. */
export interface LoadCommandSent {
  readonly event: 'order-given';
  readonly replica: string;
  readonly model: string;
  readonly version: number;
  readonly fencingToken: number;
  readonly outcome: string;
  readonly tookMs: number;
}

/** It was decided what is reported of a window of usage. */
export interface UsageDecided {
  readonly event: 'usage-decided';
  readonly window: number;
  readonly requests: number;
  readonly tenants: number;
  /** Nodes that might have had something to add, and the names of a few of them. */
  readonly missingNodes: number;
  readonly missing: string;
  readonly decidedBy: string;
  /** Time since the end of the window. */
  readonly sinceEndMs: number;
}

/** A report of usage was sent. */
export interface UsageReported {
  readonly event: 'usage-reported';
  readonly window: number;
  readonly fencingToken: number;
  readonly outcome: string;
  readonly sinceEndMs: number;
  readonly tookMs: number;
}

/** The process serves. */
export interface ProcessStarted {
  readonly event: 'process-started';
  /** Addresses, `IP:PORT`. */
  readonly ingress: string;
  readonly readiness: string;
  readonly metrics: string;
  readonly detail: string;
}

/** The process stopped, reloaded, or lost or regained a dependency. */
export interface ProcessChanged {
  readonly event: 'process-changed';
  readonly change: string;
  readonly detail?: string;
}

/** Lines that were left out because their kind was over its budget. */
export interface LinesLeftOut {
  readonly event: 'lines-left-out';
  readonly kind: string;
  readonly count: number;
}

/** Every record. */
export type DecisionRecord =
  | RequestAnswered
  | AttemptEnded
  | JobCallAnswered
  | JobCallPassedOn
  | JobChanged
  | JobPlanned
  | ItemChanged
  | ResultsListed
  | BeliefChanged
  | RequestSuspected
  | RequestRefused
  | LeadershipChanged
  | LoadCommandSent
  | UsageDecided
  | UsageReported
  | ProcessStarted
  | ProcessChanged
  | LinesLeftOut;
