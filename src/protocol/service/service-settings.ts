/** Settings of a node that serves routes and jobs, in the product's own terms. Times are in milliseconds. */

/** An address to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** How usage of tenants is reported. */
export interface UsageSettings {
  /** `IP:PORT` of the usage collector. */
  readonly address: string;
  /** Length of a window. */
  readonly windowMs: number;
  /** Time after the end of a window at which its report is due. */
  readonly dueMs: number;
}

/** Checked settings. */
export interface ServiceSettings {
  readonly nodeName: string;
  readonly zone: string;
  /** Region by zone. */
  readonly zoneRegions: ReadonlyMap<string, string>;
  readonly ingress: ListenAddress;
  readonly readiness: ListenAddress;
  /** Port for peers, at the host of `ingress`; 0 takes a free one. */
  readonly peerPort: number;
  /** `IP:PORT` of the store. */
  readonly storeAddress: string;
  readonly recordBytes: number;
  readonly objectBytes: number;
  /** Time from the signal to stop until the process is killed. */
  readonly stopGraceMs: number;
  /** Time from the store's acknowledgement of a configuration until no node acts on an older one. */
  readonly configurationBoundMs: number;
  /** Handover guard: leaders on two machines never act on one target within this time. */
  readonly leaseMs: number;
  /** Interval of a replica's heartbeats. */
  readonly replicaHeartbeatMs: number;
  /** How long results stay readable after a job was submitted. */
  readonly resultRetentionMs: number;
  /** `undefined` where no usage is reported. */
  readonly usage: UsageSettings | undefined;
  /** Processor share of the process, in cores. */
  readonly processorCores: number;
  /** Memory that the process may use, bytes. */
  readonly memoryBytes: number;
}
