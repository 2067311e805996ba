/** Routing configuration: routes by host and path prefix, services, limits and tenants. */

/** How requests of a route may be executed. */
export type RouteKind =
  /** Requests may run more than once. */
  | 'safe'
  /** Requests run at most once. */
  | 'unsafe'
  /** Answers are event streams. */
  | 'stream'
  /** Batch jobs of rollouts. */
  | 'rollout';

export interface RouteTarget {
  readonly service: string;
  /** Relative share of the requests; at least 0. */
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly targets: readonly RouteTarget[];
  /** Maximum time to hold a request, milliseconds. */
  readonly timeoutMs: number;
  /** Latency target of an answer, milliseconds. */
  readonly targetLatencyMs: number;
  /** Maximum number of replicas that one request is sent to. */
  readonly maxAttempts: number;
  /** 0 is the highest. */
  readonly priority: number;
  /** Whether a stream may be continued on another replica. */
  readonly isResumable: boolean;
  /** Time from submission until all results of a job are due, milliseconds. */
  readonly resultDeadlineMs: number;
  /** Time from submission after which an item may be cancelled, milliseconds. */
  readonly maxQueueMs: number;
  /** Whether all events of a sample must come from one weight version. */
  readonly isSingleVersion: boolean;
  /** Whether callers need no key even if the configuration has tenants. */
  readonly isPublic: boolean;
}

/** Customer on whose behalf callers send requests. */
export interface Tenant {
  readonly name: string;
  /** Keys that identify the tenant's callers. */
  readonly apiKeys: readonly string[];
  /** Priority of the tenant's requests, 0 is the highest; `undefined` for the priority of the route. */
  readonly priority: number | undefined;
}

/** A service: a set of interchangeable replicas. */
export interface ServiceDefinition {
  readonly name: string;
  /** Maximum connections of one replica, over all callers. */
  readonly maxConnections: number;
  /** Models that the engines serve; empty for application services. */
  readonly models: readonly string[];
  /** Slots of one engine; 0 for application services. */
  readonly engineSlots: number;
  /** Slow start: maximum requests a second to a new replica, over all callers; `undefined` for no limit. */
  readonly slowStartPerSecond: number | undefined;
}

/** Limits for callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A complete configuration. Newer ones have higher versions. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceDefinition[];
  readonly limits: CallerLimits;
  /** `undefined` if callers are not identified. */
  readonly tenants: readonly Tenant[] | undefined;
}
