/** Replicas that are known, and the choice among them. */
import type { Replica } from '../../../protocol/service/replica.js';
import { compareIncarnations, type IncarnationOrder } from './replica-incarnation.js';
import { ReplicaState } from './replica-state.js';

/** A replica is slow when it takes this many times as long as the fastest of its service. */
const SLOW_FACTOR = 2;
/** A preferred replica is taken unless it takes this many times as long as the fastest candidate. */
const PREFERRED_SLACK = 1.2;
/** Work in flight at a replica of another zone counts this much more than in the own zone. */
const OTHER_ZONE_PENALTY = 0.5;

/** Replicas whose announcements are gone and that are remembered in case they come back, in the order of their going. */
const MAX_ABSENT = 256;

/** What a choice of a replica must heed. */
export interface SelectionCriteria {
  readonly service: string;
  /** Zone to prefer. */
  readonly zone: string;
  /** Replicas that were tried already. */
  readonly excluded?: ReadonlySet<string>;
  /** Further condition. */
  readonly accepts?: (state: ReplicaState) => boolean;
  /** Replica to take when it is fit. */
  readonly preferred?: ReplicaState;
  /** Whether suspected replicas are taken when there are no others. Default true. */
  readonly allowsUnhealthy?: boolean;
  /** What decides among replicas that fit; the lowest is taken. Default: the expected wait. */
  readonly cost?: ReplicaCost;
}

/** Cost of a request at a replica for a node of `zone`. `fastestMs` is the lowest `averageMs` of the candidates. */
export type ReplicaCost = (state: ReplicaState, zone: string, fastestMs: number) => number;

/** The replicas of all services. */
export class ReplicaDirectory {
  private readonly states = new Map<string, ReplicaState>();
  private readonly services = new Map<string, Set<ReplicaState>>();
  private readonly listeners = new Set<() => void>();
  /** Replicas whose announcements are gone: the same life may be announced again, with requests of this node under way. */
  private readonly absent = new Map<string, ReplicaState>();
  private readonly unconfirmed = new Set<string>();
  private readonly evacuated = new Set<string>();

  /** Called after each change. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /**
   * Adds a replica or takes what it says of itself anew. A later life takes the place of the known one, of which nothing is
   * believed any more. Returns how the life stands to the known one; the word of one that seems earlier changes nothing.
   */
  set(replica: Replica): IncarnationOrder | 'first' {
    const existing = this.states.get(replica.id);
    const order = existing ? compareIncarnations(existing.replica, replica) : 'first';
    if (order === 'earlier' || order === 'untold') return order;
    this.unconfirmed.delete(replica.id);
    if (!existing) this.add(replica);
    else if (order === 'same') this.update(existing, replica);
    else this.succeed(existing, replica);
    this.notify();
    return order;
  }

  /** Takes `replica` as the life that lives now, whatever it says of its start. */
  replace(replica: Replica): void {
    const existing = this.states.get(replica.id);
    this.unconfirmed.delete(replica.id);
    if (existing) this.succeed(existing, replica);
    else this.add(replica);
    this.notify();
  }

  /** Uses a replica no more until it is set or replaced: which of its lives lives is not known. */
  markUnconfirmed(id: string): void {
    this.unconfirmed.add(id);
    this.notify();
  }

  /** Takes a version that a replica shows before it is announced. */
  noteVersion(state: ReplicaState, model: string, version: number): void {
    if (state.versionOf(model) >= version || !this.isAvailable(state)) return;
    this.set({ ...state.replica, modelVersions: new Map(state.replica.modelVersions).set(model, version) });
  }

  /** Takes a zone out of use: nothing is sent to its replicas while it is; false when that is known. */
  setEvacuated(zone: string, isEvacuated: boolean): boolean {
    if (this.evacuated.has(zone) === isEvacuated) return false;
    if (isEvacuated) this.evacuated.add(zone);
    else this.evacuated.delete(zone);
    this.notify();
    return true;
  }

  /** Zones out of use. */
  get evacuatedZones(): string[] {
    return [...this.evacuated];
  }

  /** Zones that have replicas, or are out of use. */
  get zones(): string[] {
    return [...new Set([...this.evacuated, ...[...this.states.values()].map(({ replica }) => replica.zone)])];
  }

  /** Forgets a replica. */
  remove(id: string): void {
    const state = this.states.get(id);
    if (!state) return;
    this.take(state);
    state.noteEnd('left');
    this.absent.set(id, state);
    const [oldest] = this.absent.keys();
    if (this.absent.size > MAX_ABSENT && oldest !== undefined) this.absent.delete(oldest);
    this.notify();
  }

  get(id: string): ReplicaState | undefined {
    return this.states.get(id);
  }

  get ids(): string[] {
    return [...this.states.keys()];
  }

  /** Replicas of a service that are not draining. */
  availableOf(service: string): ReplicaState[] {
    const states = this.services.get(service);
    return states ? [...states].filter((state) => this.isUsable(state)) : [];
  }

  /** Whether `state` still stands here and is not draining. */
  isAvailable(state: ReplicaState): boolean {
    return this.states.get(state.replica.id) === state && this.isUsable(state);
  }

  /** The fittest replica, or `undefined` when none fits. */
  select(criteria: SelectionCriteria): ReplicaState | undefined {
    const fitting = this.availableOf(criteria.service).filter(
      (state) => !criteria.excluded?.has(state.replica.id) && (criteria.accepts?.(state) ?? true),
    );
    const trusted = fitting.filter((state) => !state.isUnhealthy);
    const candidates = trusted.length > 0 || criteria.allowsUnhealthy === false ? trusted : fitting;
    const { preferred } = criteria;
    if (
      preferred &&
      candidates.includes(preferred) &&
      preferred.averageMs <= fastestOf(candidates) * PREFERRED_SLACK
    )
      return preferred;
    return this.cheapest(candidates, criteria.zone, criteria.cost ?? expectedWait);
  }

  private cheapest(
    candidates: readonly ReplicaState[],
    zone: string,
    costOf: ReplicaCost,
  ): ReplicaState | undefined {
    const fastest = fastestOf(candidates);
    let best: ReplicaState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const state of candidates) {
      const cost = costOf(state, zone, fastest);
      if (cost >= bestCost) continue;
      best = state;
      bestCost = cost;
    }
    return best;
  }

  /** A replica whose versions have changed has ended a load: it takes requests again. */
  private update(state: ReplicaState, replica: Replica): void {
    const before = state.replica.modelVersions;
    if (state.replica.service !== replica.service) this.moveTo(replica.service, state);
    state.replica = replica;
    if (replica.slowStartMs > 0) state.beginSlowStart(replica.slowStartMs);
    for (const [model, version] of replica.modelVersions)
      if (before.get(model) !== version) state.noteTaken();
  }

  private isUsable({ replica }: ReplicaState): boolean {
    return !replica.isDraining && !this.unconfirmed.has(replica.id) && !this.evacuated.has(replica.zone);
  }

  /** The next life of a replica: it starts with nothing of what was believed of the one before. */
  private succeed(state: ReplicaState, replica: Replica): void {
    this.take(state);
    state.noteEnd('restarted');
    this.add(replica);
  }

  private take(state: ReplicaState): void {
    this.states.delete(state.id);
    this.services.get(state.replica.service)?.delete(state);
    this.unconfirmed.delete(state.id);
  }

  /** A life that was known and whose announcement was gone goes on with its statistics and requests. */
  private stateFor(replica: Replica): ReplicaState {
    const known = this.absent.get(replica.id);
    this.absent.delete(replica.id);
    const isSame =
      known?.replica.service === replica.service && compareIncarnations(known.replica, replica) === 'same';
    if (!known || !isSame) {
      known?.noteEnd('restarted');
      return new ReplicaState(replica);
    }
    known.replica = replica;
    if (replica.slowStartMs > 0) known.beginSlowStart(replica.slowStartMs);
    known.noteReturn();
    return known;
  }

  private add(replica: Replica): void {
    const state = this.stateFor(replica);
    this.states.set(replica.id, state);
    this.list(replica.service, state);
  }

  private moveTo(service: string, state: ReplicaState): void {
    this.services.get(state.replica.service)?.delete(state);
    this.list(service, state);
  }

  private list(service: string, state: ReplicaState): void {
    const states = this.services.get(service) ?? new Set();
    states.add(state);
    this.services.set(service, states);
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }
}

/** Lowest measured service time, milliseconds; infinite while nothing was measured. */
function fastestOf(candidates: readonly ReplicaState[]): number {
  return Math.min(...candidates.map((state) => state.averageMs || Number.POSITIVE_INFINITY));
}

/** Work in flight for each slot, more in another zone, more at a slow replica. */
function expectedWait(state: ReplicaState, zone: string, fastestMs: number): number {
  const load = (state.inFlight + 1) / Math.max(1, state.replica.slots);
  const distance = state.replica.zone === zone ? 0 : OTHER_ZONE_PENALTY;
  const latencyRatio = state.averageMs > fastestMs * SLOW_FACTOR ? state.averageMs / fastestMs : 1;
  return (load + distance) * latencyRatio + Math.random() * 1e-6;
}
