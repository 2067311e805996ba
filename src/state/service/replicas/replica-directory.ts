/**
 * Directory of the announced replicas of all services, with their states, their availability and the
 * evacuated zones. Entries do not expire; they change only with announcements.
 */
import type { Replica } from '../../../protocol/service/replica.js';
import { compareIncarnations, type IncarnationOrder } from './replica-incarnation.js';
import { type SelectionCriteria, selectGenerationReplica } from './replica-selection.js';
import { ReplicaState } from './replica-state.js';

/** Withdrawn replicas whose state is kept; the oldest are evicted first. */
const MAX_WITHDRAWN = 256;

export class ReplicaDirectory {
  private readonly states = new Map<string, ReplicaState>();
  private readonly services = new Map<string, Set<ReplicaState>>();
  private readonly listeners = new Set<() => void>();
  /** Replicas without an announcement, by id. Their incarnation may be announced again. */
  private readonly withdrawn = new Map<string, ReplicaState>();
  /** Ids of replicas whose running incarnation is unknown. */
  private readonly unconfirmed = new Set<string>();
  private readonly evacuated = new Set<string>();

  /** Registers a listener that is called after each change. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /**
   * Adds or updates a replica. A later incarnation replaces the known one and starts without statistics.
   * Returns the order of the announced incarnation; `earlier` and `start-missing` ones are ignored.
   */
  set(replica: Replica): IncarnationOrder | 'first' {
    const existing = this.states.get(replica.id);
    const order = existing ? compareIncarnations(existing.replica, replica) : 'first';
    if (order === 'earlier' || order === 'start-missing') return order;
    this.unconfirmed.delete(replica.id);
    if (!existing) this.add(replica);
    else if (order === 'same') this.update(existing, replica);
    else this.replaceIncarnation(existing, replica);
    this.notify();
    return order;
  }

  /** Sets `replica` as the running incarnation regardless of its start time. */
  replace(replica: Replica): void {
    const existing = this.states.get(replica.id);
    this.unconfirmed.delete(replica.id);
    if (existing) this.replaceIncarnation(existing, replica);
    else this.add(replica);
    this.notify();
  }

  /** Makes a replica unavailable until the next `set` or `replace`. */
  markUnconfirmed(id: string): void {
    this.unconfirmed.add(id);
    this.notify();
  }

  /** Records a weight version observed in an answer before the replica announced it. */
  recordVersion(state: ReplicaState, model: string, version: number): void {
    if (state.versionOf(model) >= version || !this.isAvailable(state)) return;
    this.set({ ...state.replica, modelVersions: new Map(state.replica.modelVersions).set(model, version) });
  }

  /**
   * Starts or ends the evacuation of a zone, whose replicas are unavailable meanwhile. Returns false if
   * unchanged.
   */
  setEvacuated(zone: string, isEvacuated: boolean): boolean {
    if (this.evacuated.has(zone) === isEvacuated) return false;
    if (isEvacuated) this.evacuated.add(zone);
    else this.evacuated.delete(zone);
    this.notify();
    return true;
  }

  get evacuatedZones(): string[] {
    return [...this.evacuated];
  }

  /** Zones that have replicas or are evacuated. */
  get zones(): string[] {
    return [...new Set([...this.evacuated, ...[...this.states.values()].map(({ replica }) => replica.zone)])];
  }

  /** Removes a replica whose announcement was withdrawn. Its state is kept for a later announcement. */
  remove(id: string): void {
    const state = this.states.get(id);
    if (!state) return;
    this.unregister(state);
    state.recordEnd('left');
    this.withdrawn.set(id, state);
    const [oldest] = this.withdrawn.keys();
    if (this.withdrawn.size > MAX_WITHDRAWN && oldest !== undefined) this.withdrawn.delete(oldest);
    this.notify();
  }

  get(id: string): ReplicaState | undefined {
    return this.states.get(id);
  }

  get ids(): string[] {
    return [...this.states.keys()];
  }

  /** Usable replicas of a service: announced, confirmed, not draining and not in an evacuated zone. */
  availableOf(service: string): ReplicaState[] {
    const states = this.services.get(service);
    return states ? [...states].filter((state) => this.isUsable(state)) : [];
  }

  /** Whether `state` is the current incarnation and usable. */
  isAvailable(state: ReplicaState): boolean {
    return this.states.get(state.replica.id) === state && this.isUsable(state);
  }

  /** Selects the replica for a generation request; `undefined` if none qualifies. */
  selectForGeneration(criteria: SelectionCriteria): ReplicaState | undefined {
    return selectGenerationReplica(this.availableOf(criteria.service), criteria);
  }

  /** Updates a replica. A changed weight version ends its back-off, since it has finished loading. */
  private update(state: ReplicaState, replica: Replica): void {
    const before = state.replica.modelVersions;
    if (state.replica.service !== replica.service) this.moveToService(replica.service, state);
    state.replica = replica;
    if (replica.slowStartMs > 0) state.beginSlowStart(replica.slowStartMs);
    for (const [model, version] of replica.modelVersions)
      if (before.get(model) !== version) state.recordAccepted();
  }

  private isUsable({ replica }: ReplicaState): boolean {
    return !replica.isDraining && !this.unconfirmed.has(replica.id) && !this.evacuated.has(replica.zone);
  }

  private replaceIncarnation(state: ReplicaState, replica: Replica): void {
    this.unregister(state);
    state.recordEnd('restarted');
    this.add(replica);
  }

  private unregister(state: ReplicaState): void {
    this.states.delete(state.id);
    this.services.get(state.replica.service)?.delete(state);
    this.unconfirmed.delete(state.id);
  }

  /** Returns the kept state of the announced incarnation, or a new state. */
  private stateFor(replica: Replica): ReplicaState {
    const known = this.withdrawn.get(replica.id);
    this.withdrawn.delete(replica.id);
    const isSame =
      known?.replica.service === replica.service && compareIncarnations(known.replica, replica) === 'same';
    if (!known || !isSame) {
      known?.recordEnd('restarted');
      return new ReplicaState(replica);
    }
    known.replica = replica;
    if (replica.slowStartMs > 0) known.beginSlowStart(replica.slowStartMs);
    known.clearEnd();
    return known;
  }

  private add(replica: Replica): void {
    const state = this.stateFor(replica);
    this.states.set(replica.id, state);
    this.register(replica.service, state);
  }

  private moveToService(service: string, state: ReplicaState): void {
    this.services.get(state.replica.service)?.delete(state);
    this.register(service, state);
  }

  private register(service: string, state: ReplicaState): void {
    const states = this.services.get(service) ?? new Set();
    states.add(state);
    this.services.set(service, states);
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }
}
