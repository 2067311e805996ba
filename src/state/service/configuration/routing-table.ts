/** The current configuration, indexed by host and path prefix. Versions only rise. */
import type { Replica } from '../../../protocol/service/replica.js';
import type {
  CallerLimits,
  Route,
  RoutingConfiguration,
  ServiceDefinition,
  Tenant,
} from '../../../protocol/service/routing-configuration.js';
import { TenantDirectory } from './tenant-directory.js';

/** Whether a caller may send a request. */
export type AccessDecision =
  /** `tenant` is `undefined` for callers that are not identified. */
  | { readonly kind: 'granted'; readonly tenant: Tenant | undefined }
  | { readonly kind: 'denied'; readonly reason: string };

const DENIED_MISSING_KEY: AccessDecision = { kind: 'denied', reason: 'a key is needed' };
const DENIED_UNKNOWN_KEY: AccessDecision = { kind: 'denied', reason: 'the key is not known' };

/** One configuration with its indexes. A request uses the same snapshot until it ends. */
export class RoutingSnapshot {
  private readonly routesByHost = new Map<string, Map<string, Route>>();
  private readonly engineSlots = new Map<string, number>();
  private readonly services = new Map<string, ServiceDefinition>();
  private readonly tenants: TenantDirectory | undefined;
  private readonly publicJobHosts = new Set<string>();

  constructor(readonly configuration: RoutingConfiguration) {
    for (const route of configuration.routes) {
      this.prefixesOf(route.host).set(route.pathPrefix, route);
      if (route.kind === 'rollout' && route.isPublic) this.publicJobHosts.add(route.host);
    }
    this.tenants = configuration.tenants && new TenantDirectory(configuration.tenants);
    for (const service of configuration.services) {
      this.services.set(service.name, service);
      this.engineSlots.set(service.name, service.engineSlots);
    }
  }

  get version(): number {
    return this.configuration.version;
  }

  get limits(): CallerLimits {
    return this.configuration.limits;
  }

  /** The route of `host` with the longest prefix of `path`; `undefined` when there is none. */
  match(host: string, path: string): Route | undefined {
    const prefixes = this.routesByHost.get(hostName(host));
    if (!prefixes) return undefined;
    const end = path.indexOf('?');
    const pathname = end < 0 ? path : path.slice(0, end);
    for (let slash = pathname.lastIndexOf('/'); slash >= 0; slash = pathname.lastIndexOf('/', slash - 1)) {
      const route = prefixes.get(pathname.slice(0, slash + 1));
      if (route) return route;
      if (slash === 0) break;
    }
    return undefined;
  }

  /** Whether callers are identified by keys. */
  get hasTenants(): boolean {
    return this.tenants !== undefined;
  }

  /** Whether a caller with this `Authorization` header may send requests of `route`, and for which tenant. */
  accessTo(route: Route, authorization: string | undefined): AccessDecision {
    return this.access(route.isPublic, authorization);
  }

  /** Like `accessTo`, for reading jobs submitted under `host`; does not check who owns a job. */
  accessToJobs(host: string, authorization: string | undefined): AccessDecision {
    return this.access(this.publicJobHosts.has(hostName(host)), authorization);
  }

  /** Configured slots of the service's engine, or else those that the replica announces. */
  slotsOf(replica: Replica): number {
    return this.engineSlots.get(replica.service) || replica.slots;
  }

  /** Slow start: requests a second to a new replica from all callers; `undefined` for no limit. */
  slowStartPerSecondOf(service: string): number | undefined {
    return this.services.get(service)?.slowStartPerSecond;
  }

  /** The share of one job owner in the slow start: each model has one owner at a time. */
  slowStartPerSecondPerOwner(service: string): number | undefined {
    const perSecond = this.slowStartPerSecondOf(service);
    const owners = Math.max(1, this.services.get(service)?.models.length ?? 1);
    return perSecond && perSecond / owners;
  }

  private access(isPublic: boolean, authorization: string | undefined): AccessDecision {
    if (!this.tenants) return { kind: 'granted', tenant: undefined };
    const identity = this.tenants.identify(authorization);
    if (identity.kind === 'tenant') return { kind: 'granted', tenant: identity.tenant };
    if (isPublic) return { kind: 'granted', tenant: undefined };
    return identity.kind === 'anonymous' ? DENIED_MISSING_KEY : DENIED_UNKNOWN_KEY;
  }

  private prefixesOf(host: string): Map<string, Route> {
    const existing = this.routesByHost.get(host);
    if (existing) return existing;
    const created = new Map<string, Route>();
    this.routesByHost.set(host, created);
    return created;
  }
}

/** The host of a `Host` header, in lower case and without the port. */
function hostName(header: string): string {
  const colon = header.indexOf(':');
  return (colon < 0 ? header : header.slice(0, colon)).toLowerCase();
}

/** Holds the newest configuration that this process has received. */
export class RoutingTable {
  private snapshot: RoutingSnapshot | undefined;

  /** The current configuration; `undefined` while none is known. */
  get current(): RoutingSnapshot | undefined {
    return this.snapshot;
  }

  /** Installs a configuration if it is newer than the current one. Returns whether it was installed. */
  install(configuration: RoutingConfiguration): boolean {
    if (this.snapshot && configuration.version <= this.snapshot.version) return false;
    this.snapshot = new RoutingSnapshot(configuration);
    return true;
  }
}
