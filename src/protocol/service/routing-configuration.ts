/** What operators configure for routing: routes by host and path prefix, services, and limits towards callers. */

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
  /** Longest time a request may be held, milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer is worth its full credit, milliseconds. */
  readonly targetLatencyMs: number;
  /** Back ends that one request may run on at most. */
  readonly maxAttempts: number;
  /** Rank; 0 is the highest. */
  readonly priority: number;
  /** Whether a stream may be continued on another back end. */
  readonly isResumable: boolean;
  /** Time after submission by which all results of a job are due, milliseconds. */
  readonly resultDeadlineMs: number;
  /** Time after submission at which an item may be given up, milliseconds. */
  readonly maxQueueMs: number;
  /** Whether all events of a sample must come from one weight version. */
  readonly isSingleVersion: boolean;
  /** Whether callers need no key, also where the configuration has tenants. */
  readonly isPublic: boolean;
}

/** Someone on whose behalf callers send requests. */
export interface Tenant {
  readonly name: string;
  /** Keys by which callers prove that they belong to the tenant; each configuration may add and take away keys. */
  readonly apiKeys: readonly string[];
  /** Rank of the tenant's requests, 0 is the highest; `undefined` leaves it to the route. */
  readonly priority: number | undefined;
}

/** A service: replicas that are alike. */
export interface ServiceDefinition {
  readonly name: string;
  /** Connections that one replica accepts from all callers together. */
  readonly maxConnections: number;
  /** Models that the service's engines run; empty for application services. */
  readonly models: readonly string[];
  /** Requests that one engine runs at once; 0 for application services. */
  readonly engineSlots: number;
  /** Requests that a cold replica bears in a second, from all callers; `undefined` where it bears all. */
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
  /** Tenants; `undefined` where callers are not told apart. */
  readonly tenants: readonly Tenant[] | undefined;
}
