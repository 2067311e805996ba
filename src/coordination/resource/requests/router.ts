/**
 * Selects the back end of a request: the less loaded of two random eligible ones (power of two choices), so
 * that delayed load reports do not direct all nodes to the same back end. Ejected back ends are used only if
 * no other one is eligible; without any, the request is rejected, not queued.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Random } from '../../../common/random.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { BackendEntry, BackendRegistry } from '../../../state/resource/backends/index.js';
import { rankByRendezvous } from '../../../state/resource/backends/index.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { DecisionInputs } from '../../../state/resource/decision-log.js';

export interface RouteQuery {
  readonly service: ResourceOf<'Service'>;
  /** Names of the back ends on which an earlier attempt of this request failed. */
  readonly excluded: ReadonlySet<string>;
  /** Model that an engine must have loaded. */
  readonly model?: string;
  /** Oldest version that an engine may have loaded. */
  readonly minVersion?: number;
  /** Allowed zones, in addition to the residency of the service. */
  readonly residency?: readonly string[];
  /** Select only among the eligible engines with the newest version. */
  readonly preferNewest?: boolean;
}

/** Why a back end is not eligible, as shown by `explain`; `failing` means ejected after a failure. */
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

/** `release` must be called when the request ends; it is idempotent. */
export interface Route {
  readonly backend: BackendEntry;
  readonly inputs: DecisionInputs;
  readonly release: () => void;
}

/** `at-capacity`: at least one back end is ineligible only because of its in-flight limit. */
export interface NoRoute {
  readonly reason: 'no-backend' | 'at-capacity';
  readonly inputs: DecisionInputs;
}

/** In-flight limit of a back end that does not declare `maxInFlight`. */
const DEFAULT_BACKEND_IN_FLIGHT = 64;
/** Candidates, and rejected back ends, listed in a decision record. */
const MAX_BACKENDS_RECORDED = 16;

interface Rejection {
  readonly backend: string;
  readonly reason: Ineligibility;
}

export class Router {
  private readonly subsets = new Map<
    string,
    { source: readonly BackendEntry[]; subset: readonly BackendEntry[] }
  >();

  /** `subsetSize`: maximum number of back ends per service that this node polls and uses. */
  constructor(
    private readonly nodeId: string,
    private readonly view: ConfigView,
    private readonly registry: BackendRegistry,
    private readonly random: Random,
    private readonly subsetSize: number,
  ) {}

  /** Selects a back end and increments its in-flight count. */
  choose(query: RouteQuery): Result<Route, NoRoute> {
    const { candidates, rejected } = this.classify(query);
    const inputs = describeInputs(candidates, rejected);
    if (candidates.length > 0) return ok(this.reserve(this.pickLessLoaded(candidates, query), inputs));
    const isAtCapacity = rejected.some((one) => one.reason === 'at-capacity');
    return err({ reason: isAtCapacity ? 'at-capacity' : 'no-backend', inputs });
  }

  /** The back ends that this node uses: the first `subsetSize` of the service in rendezvous order. */
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

  /** Returns the first failed check, or `undefined` if the back end is eligible. */
  ineligibility(backend: BackendEntry, query: RouteQuery): Ineligibility | undefined {
    return (
      this.declaredIneligibility(backend, query) ??
      modelIneligibility(backend, query) ??
      loadIneligibility(backend)
    );
  }

  /** Ejected back ends are candidates only if no other one is eligible. */
  private classify(query: RouteQuery): { candidates: BackendEntry[]; rejected: Rejection[] } {
    const eligible: BackendEntry[] = [];
    const ejected: BackendEntry[] = [];
    const rejected: Rejection[] = [];
    for (const backend of this.subset(query.service.metadata.name)) {
      const reason = this.ineligibility(backend, query);
      if (reason === undefined) eligible.push(backend);
      else if (reason === 'failing') ejected.push(backend);
      else rejected.push({ backend: backend.name, reason });
    }
    if (eligible.length === 0) return { candidates: ejected, rejected };
    const ejections = ejected.map((one) => ({ backend: one.name, reason: 'failing' as const }));
    return { candidates: eligible, rejected: [...rejected, ...ejections] };
  }

  private declaredIneligibility(backend: BackendEntry, query: RouteQuery): Ineligibility | undefined {
    const { spec } = backend.declaration;
    if (query.excluded.has(backend.name)) return 'excluded';
    if (spec.draining) return 'draining';
    if (isMachineLeaving(this.view, spec.machine)) return 'machine-leaving';
    const isAllowed = [query.service.spec.residency, query.residency].every((zones) =>
      isAllowedZone(spec.zone, zones),
    );
    if (!isAllowed) return 'residency';
    return backend.lifecycle.current === 'quarantined' ? 'quarantined' : undefined;
  }

  private pickLessLoaded(candidates: readonly BackendEntry[], query: RouteQuery): BackendEntry {
    const newest = Math.max(...candidates.map((one) => one.version ?? 0));
    const preferred = query.preferNewest
      ? candidates.filter((one) => (one.version ?? 0) === newest)
      : candidates;
    const [first, second] = this.random.sample(preferred, 2) as [BackendEntry, BackendEntry | undefined];
    if (!second) return first;
    return second.load < first.load ? second : first;
  }

  private reserve(backend: BackendEntry, inputs: DecisionInputs): Route {
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

/** Whether the machine is listed in a state other than `live`; an unlisted machine is not leaving. */
export function isMachineLeaving(view: ConfigView, machine: string | undefined): boolean {
  const listed = machine === undefined ? undefined : view.get('Machine', machine);
  return listed !== undefined && listed.spec.state !== 'live';
}

/** A missing or empty list allows every zone. */
export function isAllowedZone(zone: string, allowed: readonly string[] | undefined): boolean {
  return allowed === undefined || allowed.length === 0 || allowed.includes(zone);
}

function modelIneligibility(backend: BackendEntry, query: RouteQuery): Ineligibility | undefined {
  if (query.model === undefined) return undefined;
  const state = backend.engineState;
  if (state?.model !== query.model) return 'model-not-loaded';
  if (state.role === 'draining') return 'engine-draining';
  if (backend.version === undefined) return 'quarantined';
  if (query.minVersion !== undefined && backend.version < query.minVersion) return 'version-too-old';
  return undefined;
}

function loadIneligibility(backend: BackendEntry): Ineligibility | undefined {
  const maxInFlight = backend.declaration.spec.maxInFlight ?? DEFAULT_BACKEND_IN_FLIGHT;
  if (backend.inFlight >= maxInFlight) return 'at-capacity';
  return backend.isEjected ? 'failing' : undefined;
}

function describeInputs(candidates: readonly BackendEntry[], rejected: readonly Rejection[]): DecisionInputs {
  const shown = candidates.slice(0, MAX_BACKENDS_RECORDED);
  return {
    candidates: shown.map((one) => ({ backend: one.name, load: one.load, version: one.version })),
    rejected: rejected.slice(0, MAX_BACKENDS_RECORDED),
  };
}
