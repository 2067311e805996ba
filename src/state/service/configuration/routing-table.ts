/** The configuration in force, indexed by host and path prefix. It never goes back to an older version. */
import type { Replica } from '../../../protocol/service/replica.js';
import type {
  CallerLimits,
  Route,
  RouteTarget,
  RoutingConfiguration,
  ServiceDefinition,
  Tenant,
} from '../../../protocol/service/routing-configuration.js';
import { TenantDirectory } from './tenant-directory.js';

/** Whether a caller may send a request. */
export type Access =
  /** `tenant` is `undefined` where callers are not told apart. */
  | { readonly kind: 'granted'; readonly tenant: Tenant | undefined }
  | { readonly kind: 'denied'; readonly reason: string };

const DENIED_NO_KEY: Access = { kind: 'denied', reason: 'a key is needed' };
const DENIED_UNKNOWN_KEY: Access = { kind: 'denied', reason: 'the key is not known' };

/** One configuration with its index. A request keeps the one that it began with. */
export class RoutingSnapshot {
  private readonly routesByHost = new Map<string, Map<string, Route>>();
  private readonly modelServices = new Map<string, string[]>();
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
      for (const model of service.models)
        this.modelServices.set(model, [...(this.modelServices.get(model) ?? []), service.name]);
    }
  }

  get version(): number {
    return this.configuration.version;
  }

  get limits(): CallerLimits {
    return this.configuration.limits;
  }

  /** The route of `host` with the longest prefix that begins `path`. */
  match(host: string, path: string): Route | undefined {
    const prefixes = this.routesByHost.get(hostName(host));
    if (!prefixes) return undefined;
    const end = path.indexOf('?');
    const bare = end < 0 ? path : path.slice(0, end);
    for (let slash = bare.lastIndexOf('/'); slash >= 0; slash = bare.lastIndexOf('/', slash - 1)) {
      const route = prefixes.get(bare.slice(0, slash + 1));
      if (route) return route;
      if (slash === 0) break;
    }
    return undefined;
  }

  /** Whether callers are told apart by keys. */
  get hasTenants(): boolean {
    return this.tenants !== undefined;
  }

  /** Whether a caller that shows this `Authorization` header may send requests of `route`, and for whom. */
  accessTo(route: Route, authorization: string | undefined): Access {
    return this.access(route.isPublic, authorization);
  }

  /** Whether a caller may ask about jobs submitted under `host`; whether one job is the caller's is another question. */
  accessToJobs(host: string, authorization: string | undefined): Access {
    return this.access(this.publicJobHosts.has(hostName(host)), authorization);
  }

  /** Services whose engines run `model`. */
  servicesOfModel(model: string): readonly string[] {
    return this.modelServices.get(model) ?? [];
  }

  /** Requests that a replica runs at once: as the engine of its service is configured, else as it announces. */
  slotsOf(replica: Replica): number {
    return this.engineSlots.get(replica.service) || replica.slots;
  }

  /** Requests that a cold replica of a service bears in a second from all callers; `undefined` where it bears all. */
  slowStartPerSecondOf(service: string): number | undefined {
    return this.services.get(service)?.slowStartPerSecond;
  }

  /** The part of it of one owner of jobs: each model has one owner at a time. */
  slowStartPerSecondOfOwner(service: string): number | undefined {
    const perSecond = this.slowStartPerSecondOf(service);
    const owners = Math.max(1, this.services.get(service)?.models.length ?? 1);
    return perSecond && perSecond / owners;
  }

  private access(isPublic: boolean, authorization: string | undefined): Access {
    if (!this.tenants) return { kind: 'granted', tenant: undefined };
    const identity = this.tenants.identify(authorization);
    if (identity.kind === 'tenant') return { kind: 'granted', tenant: identity.tenant };
    if (isPublic) return { kind: 'granted', tenant: undefined };
    return identity.kind === 'anonymous' ? DENIED_NO_KEY : DENIED_UNKNOWN_KEY;
  }

  private prefixesOf(host: string): Map<string, Route> {
    const existing = this.routesByHost.get(host);
    if (existing) return existing;
    const created = new Map<string, Route>();
    this.routesByHost.set(host, created);
    return created;
  }
}

/** Host of a `Host` header without the port. */
function hostName(header: string): string {
  const colon = header.indexOf(':');
  return (colon < 0 ? header : header.slice(0, colon)).toLowerCase();
}

/** The newest configuration that this process has seen. */
export class RoutingTable {
  private snapshot: RoutingSnapshot | undefined;

  /** The configuration in force; `undefined` while none is known. */
  get current(): RoutingSnapshot | undefined {
    return this.snapshot;
  }

  /** Takes a configuration unless it is older than the one in force. Returns whether it is now in force. */
  install(configuration: RoutingConfiguration): boolean {
    if (this.snapshot && configuration.version <= this.snapshot.version) return false;
    this.snapshot = new RoutingSnapshot(configuration);
    return true;
  }
}

/**
 * Splits requests among the targets of a route by weight: smooth weighted round robin, so that shares hold even over
 * few requests.
 */
export class TargetSplitter {
  private readonly credits = new Map<string, Map<string, number>>();

  /** The target of the next request; `undefined` when the route has none. */
  next(route: Route): RouteTarget | undefined {
    if (route.targets.length <= 1) return route.targets[0];
    const credits = this.creditsOf(route);
    let best: RouteTarget | undefined;
    let total = 0;
    for (const target of route.targets) {
      total += target.weight;
      const credit = (credits.get(target.service) ?? Math.random() * target.weight) + target.weight;
      credits.set(target.service, credit);
      if (target.weight > 0 && (!best || credit > (credits.get(best.service) ?? 0))) best = target;
    }
    if (best) credits.set(best.service, (credits.get(best.service) ?? 0) - total);
    return best;
  }

  private creditsOf(route: Route): Map<string, number> {
    const key = `${route.name} ${route.targets.map((target) => `${target.service}=${target.weight}`).join()}`;
    const existing = this.credits.get(key);
    if (existing) return existing;
    if (this.credits.size > MAX_SPLITS) this.credits.clear();
    const created = new Map<string, number>();
    this.credits.set(key, created);
    return created;
  }
}

/** Splits that are remembered at most. */
const MAX_SPLITS = 1_000;
