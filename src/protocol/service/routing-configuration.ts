/** Routing as operators configure it: routes by host and path prefix, services, limits, tenants. */

/** How requests of a route may be treated. */
export type RouteKind =
  /** May run more than once. */
  | 'safe'
  /** Runs at most once. */
  | 'unsafe'
  /** An event stream. */
  | 'stream'
  /** Batch jobs of rollouts. */
  | 'rollout';

/** One target of a route with its share of the requests. */
export interface RouteTarget {
  readonly service: string;
  /** Relative weight; at least 0. */
  readonly weight: number;
}

/** One route. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Longest time for which a request may be held, milliseconds. */
  readonly timeoutMs: number;
  /** Latency target of an answer, milliseconds. */
  readonly targetLatencyMs: number;
  /** Most replicas that one request may be sent to. */
  readonly maxAttempts: number;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Whether a stream may be continued on another replica. */
  readonly isResumable: boolean;
  /** Time after submission by which all results of a job are due, milliseconds. */
  readonly resultDeadlineMs: number;
  /** Time after submission from which an item may be cancelled, milliseconds. */
  readonly maxQueueMs: number;
  /** Whether all events of a sample must come from one weight version. */
  readonly isSingleVersion: boolean;
  /** Whether callers need no key, also where the configuration has tenants. */
  readonly isPublic: boolean;
}

/** Someone on whose behalf callers send requests. */
export interface Tenant {
  readonly name: string;
  /** Keys that identify callers of the tenant; each configuration may add and remove keys. */
  readonly apiKeys: readonly string[];
  /** Priority of the tenant's requests, 0 is the highest; `undefined` leaves it to the route. */
  readonly priority: number | undefined;
}

/** A service: a set of equal replicas. */
export interface ServiceDefinition {
  readonly name: string;
  /** Connections that one replica accepts from all callers together. */
  readonly maxConnections: number;
  /** Models that the service's engines run; empty for application services. */
  readonly models: readonly string[];
  /** Slots of one engine; 0 for application services. */
  readonly engineSlots: number;
  /** Slow start: requests a second to a new replica from all callers; `undefined` for no limit. */
  readonly slowStartPerSecond: number | undefined;
}

/** Limits towards callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A whole configuration. Versions rise. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceDefinition[];
  readonly limits: CallerLimits;
  /** Tenants; `undefined` where callers are not identified. */
  readonly tenants: readonly Tenant[] | undefined;
}
