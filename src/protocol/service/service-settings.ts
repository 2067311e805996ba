/** Validated settings of a node that serves routes and jobs. Times are in milliseconds. */

export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Settings for reporting tenants' usage. */
export interface UsageSettings {
  /** `IP:PORT` of the usage collector. */
  readonly address: string;
  /** Length of a reporting window. */
  readonly windowMs: number;
  /** Time from the end of a window until its report is due. */
  readonly dueMs: number;
}

export interface ServiceSettings {
  readonly nodeName: string;
  readonly zone: string;
  /** Region by zone. */
  readonly zoneRegions: ReadonlyMap<string, string>;
  readonly ingress: ListenAddress;
  readonly readiness: ListenAddress;
  /** Port for peers on the host of `ingress`; 0 selects a free port. */
  readonly peerPort: number;
  /** `IP:PORT` of the store. */
  readonly storeAddress: string;
  readonly recordBytes: number;
  readonly objectBytes: number;
  /** Time from the stop signal until the process is killed. */
  readonly stopGraceMs: number;
  /** Time from the store's acknowledgement of a configuration until no node uses an older one. */
  readonly configurationBoundMs: number;
  /** Time from the acknowledged end of a job until none of its requests reaches a replica. */
  readonly jobEndBoundMs: number;
  /** Minimum time between actions of leaders on two machines on the same target. */
  readonly leaseMs: number;
  /** Heartbeat interval of replicas. */
  readonly replicaHeartbeatMs: number;
  /** Time from the submission of a job for which its results stay readable. */
  readonly resultRetentionMs: number;
  /** `undefined` if no usage is reported. */
  readonly usage: UsageSettings | undefined;
  readonly processorCores: number;
  /** Memory available to the process, bytes. */
  readonly memoryBytes: number;
  /** Descriptors that the process may open. */
  readonly maxDescriptors: number;
}
