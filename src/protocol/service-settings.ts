/** Settings of a node that serves routes and jobs, in the product's own terms. Times are in milliseconds. */

/** An address to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Checked settings. */
export interface ServiceSettings {
  readonly nodeName: string;
  readonly zone: string;
  /** Region by zone. */
  readonly zoneRegions: ReadonlyMap<string, string>;
  readonly ingress: ListenAddress;
  readonly readiness: ListenAddress;
  /** `IP:PORT` of the store. */
  readonly storeAddress: string;
  readonly recordBytes: number;
  readonly objectBytes: number;
  /** Time from the signal to stop until the process is killed. */
  readonly stopGraceMs: number;
  /** Two holders of one duty never act on one replica within this time. */
  readonly leaseMs: number;
  /** How long results stay readable after a job was submitted. */
  readonly resultRetentionMs: number;
  /** Memory that the process may use, bytes. */
  readonly memoryBytes: number;
}
