/**
 * Routing: which back end takes a piece of work. Of the back ends that may take it, two are chosen at random
 * and the less loaded one is taken (two random choices): load figures are late, and taking the least loaded of
 * all would send every node to the same one.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Random } from '../../../common/random.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { BackendEntry, BackendRegistry } from '../../../state/resource/backends/index.js';
import { rankByRendezvous } from '../../../state/resource/backends/index.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { DecisionInputs } from '../../../state/resource/decision-log.js';

/** What the work asks of a back end. */
export interface RouteQuery {
  readonly service: ResourceOf<'Service'>;
  /** Back ends that have failed this piece of work already. */
  readonly excluded: ReadonlySet<string>;
  /** Model that an engine must have loaded. */
  readonly model?: string;
  /** Oldest version that an engine may have loaded. */
  readonly minVersion?: number;
  /** Zones allowed, beyond the service's own residency. */
  readonly residency?: readonly string[];
  /** Take only engines with the newest version among those that may take the work. */
  readonly preferNewest?: boolean;
}

/** Why a back end may not take a piece of work. */
export type Ineligibility =
  | 'excluded'
  | 'draining'
  | 'machine-leaving'
  | 'engine-draining'
  | 'quarantined'
  | 'residency'
  | 'model-not-loaded'
  | 'version-too-old'
  | 'at-capacity'
  | 'failing';

/** A chosen back end. `release` must be called once the work has left it. */
export interface Route {
  readonly backend: BackendEntry;
  readonly inputs: DecisionInputs;
  readonly release: () => void;
}

/** No back end could take the work. */
export interface NoRoute {
  readonly reason: 'no-backend' | 'at-capacity';
  readonly inputs: DecisionInputs;
}

const DEFAULT_BACKEND_IN_FLIGHT = 64;

/** Reasons that pass by themselves as work ends. */
const CAPACITY_REASONS: ReadonlySet<Ineligibility> = new Set(['at-capacity']);

/** The router of one node. */
export class Router {
  private readonly subsets = new Map<
    string,
    { source: readonly BackendEntry[]; subset: readonly BackendEntry[] }
  >();

  /** `subsetSize`: back ends of a service that this node knows in detail and uses. */
  constructor(
    private readonly nodeId: string,
    private readonly view: ConfigView,
    private readonly registry: BackendRegistry,
    private readonly random: Random,
    private readonly subsetSize: number,
  ) {}

  /** Chooses a back end and counts the work as in flight there. */
  choose(query: RouteQuery): Result<Route, NoRoute> {
    const eligible: BackendEntry[] = [];
    const failing: BackendEntry[] = [];
    const rejected: { backend: string; reason: Ineligibility }[] = [];
    for (const backend of this.subset(query.service.metadata.name)) {
      const reason = this.ineligibility(backend, query);
      if (reason === undefined) eligible.push(backend);
      else if (reason === 'failing') failing.push(backend);
      else rejected.push({ backend: backend.name, reason });
    }
    // A back end that failed of late is better than none.
    const candidates = eligible.length > 0 ? eligible : failing;
    if (eligible.length > 0)
      rejected.push(...failing.map((one) => ({ backend: one.name, reason: 'failing' as const })));
    const inputs = describeInputs(candidates, rejected);
    if (candidates.length === 0) {
      const onlyCapacity = rejected.some((one) => CAPACITY_REASONS.has(one.reason));
      return err({ reason: onlyCapacity ? 'at-capacity' : 'no-backend', inputs });
    }
    return ok(this.take(this.pick(candidates, query), inputs));
  }

  /** The back ends of a service that this node uses. */
  subset(service: string): readonly BackendEntry[] {
    const source = this.registry.ofService(service);
    if (source.length <= this.subsetSize) return source;
    const known = this.subsets.get(service);
    if (known?.source === source) return known.subset;
    const ranked = rankByRendezvous(
      this.nodeId,
      source.map((one) => one.name),
    ).slice(0, this.subsetSize);
    const chosen = new Set(ranked);
    const subset = source.filter((one) => chosen.has(one.name));
    this.subsets.set(service, { source, subset });
    return subset;
  }

  /** Why a back end may not take the work; `undefined` when it may. */
  ineligibility(backend: BackendEntry, query: RouteQuery): Ineligibility | undefined {
    const { spec } = backend.declaration;
    if (query.excluded.has(backend.name)) return 'excluded';
    if (spec.draining) return 'draining';
    if (this.machineIsLeaving(spec.machine)) return 'machine-leaving';
    if (!isAllowedZone(spec.zone, query.service.spec.residency)) return 'residency';
    if (!isAllowedZone(spec.zone, query.residency)) return 'residency';
    if (backend.lifecycle.current === 'quarantined') return 'quarantined';
    const modelReason = query.model === undefined ? undefined : modelIneligibility(backend, query);
    if (modelReason) return modelReason;
    if (backend.inFlight >= (spec.maxInFlight ?? DEFAULT_BACKEND_IN_FLIGHT)) return 'at-capacity';
    return backend.isEjected ? 'failing' : undefined;
  }

  private machineIsLeaving(machine: string | undefined): boolean {
    if (machine === undefined) return false;
    const listed = this.view.get('Machine', machine);
    return listed !== undefined && listed.spec.state !== 'live';
  }

  private pick(candidates: readonly BackendEntry[], query: RouteQuery): BackendEntry {
    const newest = Math.max(...candidates.map((one) => one.version ?? 0));
    const preferred = query.preferNewest
      ? candidates.filter((one) => (one.version ?? 0) === newest)
      : candidates;
    const [first, second] = this.random.sample(preferred, 2) as [BackendEntry, BackendEntry | undefined];
    if (!second) return first;
    return second.load < first.load ? second : first;
  }

  private take(backend: BackendEntry, inputs: DecisionInputs): Route {
    backend.inFlight += 1;
    let released = false;
    const release = () => {
      if (released) return;
      released = true;
      backend.inFlight -= 1;
    };
    return { backend, inputs, release };
  }
}

/** Whether a zone is among those allowed; no list allows every zone. */
export function isAllowedZone(zone: string, allowed: readonly string[] | undefined): boolean {
  return allowed === undefined || allowed.length === 0 || allowed.includes(zone);
}

function modelIneligibility(backend: BackendEntry, query: RouteQuery): Ineligibility | undefined {
  const state = backend.engineState;
  if (!state || state.model !== query.model) return 'model-not-loaded';
  if (state.role === 'draining') return 'engine-draining';
  if (backend.version === undefined) return 'quarantined';
  if (query.minVersion !== undefined && backend.version < query.minVersion) return 'version-too-old';
  return undefined;
}

const MAX_CANDIDATES_RECORDED = 16;

function describeInputs(
  candidates: readonly BackendEntry[],
  rejected: readonly { backend: string; reason: string }[],
): DecisionInputs {
  const shown = candidates.slice(0, MAX_CANDIDATES_RECORDED);
  return {
    candidates: shown.map((one) => ({ backend: one.name, load: one.load, version: one.version })),
    rejected: rejected.slice(0, MAX_CANDIDATES_RECORDED),
  };
}
