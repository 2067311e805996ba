/** Deployments that a soak runs: processes, the store, the operator's bounds. Times are in milliseconds. */

/** One deployment. */
export interface Shape {
  readonly nodes: number;
  readonly zones: number;
  readonly engines: number;
  readonly applications: number;
  /** Slots of an application: fewer than there are nodes, so that its requests go through dispatchers. */
  readonly applicationSlots: number;
  /** Whether calls between nodes go through relays, which the process of the stand-ins runs. */
  readonly relaysPeers: boolean;
  /** Routes without requests. */
  readonly idleRoutes: number;
  /** Time of an answer of the store, and its limit of calls per second from all nodes together. */
  readonly storeAnswerMs: number;
  readonly storeReadsPerSecond: number;
  readonly storeWritesPerSecond: number;
  /** Time after which a change of the configuration is in force at a connected node. */
  readonly configurationBoundMs: number;
  /** Time without a fault after which a node counts as connected. */
  readonly contactMs: number;
  /** Nodes that are probed in a second. */
  readonly probesPerSecond: number;
}

/** Shapes by name. */
export const SHAPES: Readonly<Record<string, Shape>> = {
  small: {
    nodes: 4,
    zones: 1,
    engines: 4,
    applications: 4,
    applicationSlots: 3,
    relaysPeers: true,
    idleRoutes: 4,
    storeAnswerMs: 0,
    storeReadsPerSecond: Number.POSITIVE_INFINITY,
    storeWritesPerSecond: Number.POSITIVE_INFINITY,
    configurationBoundMs: 2_000,
    contactMs: 3_000,
    probesPerSecond: 10,
  },
  fleet: {
    nodes: 84,
    zones: 4,
    engines: 31,
    applications: 5,
    applicationSlots: 6,
    relaysPeers: false,
    idleRoutes: 40,
    storeAnswerMs: 4,
    storeReadsPerSecond: 6_000,
    storeWritesPerSecond: 1_500,
    configurationBoundMs: 3_000,
    contactMs: 4_000,
    probesPerSecond: 60,
  },
};
