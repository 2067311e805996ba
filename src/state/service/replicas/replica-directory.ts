/**
 * The replicas of all services, as they are announced. Owns their states, which of them are available, and
 * the zones that are evacuated. Without new announcements it stays as last known.
 */
import type { Replica } from '../../../protocol/service/replica.js';
import { compareIncarnations, type IncarnationOrder } from './replica-incarnation.js';
import { type SelectionCriteria, selectGenerationReplica } from './replica-selection.js';
import { ReplicaState } from './replica-state.js';

/** Replicas without an announcement that are kept, the oldest dropped first. Chosen, not measured. */
const MAX_WITHDRAWN = 256;

export class ReplicaDirectory {
  private readonly states = new Map<string, ReplicaState>();
  private readonly services = new Map<string, Set<ReplicaState>>();
  private readonly listeners = new Set<() => void>();
  /** Replicas whose announcement is gone, by id: the incarnation may be announced again. */
  private readonly withdrawn = new Map<string, ReplicaState>();
  /** Ids of replicas of which it is not known which incarnation runs. */
  private readonly unconfirmed = new Set<string>();
  private readonly evacuated = new Set<string>();

  /** Called after each change. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /**
   * Adds or updates a replica. A later incarnation replaces the known one and starts with no statistics.
   * Returns how the incarnation compares with the known one; an `earlier` or `start-missing` one changes nothing.
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

  /** Takes `replica` as the incarnation that runs now, whatever start it names. */
  replace(replica: Replica): void {
    const existing = this.states.get(replica.id);
    this.unconfirmed.delete(replica.id);
    if (existing) this.replaceIncarnation(existing, replica);
    else this.add(replica);
    this.notify();
  }

  /** Makes a replica unavailable until it is set or replaced. */
  markUnconfirmed(id: string): void {
    this.unconfirmed.add(id);
    this.notify();
  }

  /** Notes a weight version that a replica shows before it announces it. */
  recordVersion(state: ReplicaState, model: string, version: number): void {
    if (state.versionOf(model) >= version || !this.isAvailable(state)) return;
    this.set({ ...state.replica, modelVersions: new Map(state.replica.modelVersions).set(model, version) });
  }

  /** Evacuates a zone, whose replicas are then unavailable, or ends that; false when nothing changes. */
  setEvacuated(zone: string, isEvacuated: boolean): boolean {
    if (this.evacuated.has(zone) === isEvacuated) return false;
    if (isEvacuated) this.evacuated.add(zone);
    else this.evacuated.delete(zone);
    this.notify();
    return true;
  }

  /** Evacuated zones. */
  get evacuatedZones(): string[] {
    return [...this.evacuated];
  }

  /** Zones that have replicas or are evacuated. */
  get zones(): string[] {
    return [...new Set([...this.evacuated, ...[...this.states.values()].map(({ replica }) => replica.zone)])];
  }

  /** Removes a replica whose announcement is gone. */
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

  /** Replicas of a service that may be used: announced, confirmed, not draining, in no evacuated zone. */
  availableOf(service: string): ReplicaState[] {
    const states = this.services.get(service);
    return states ? [...states].filter((state) => this.isUsable(state)) : [];
  }

  /** Whether `state` is the known incarnation and may be used. */
  isAvailable(state: ReplicaState): boolean {
    return this.states.get(state.replica.id) === state && this.isUsable(state);
  }

  /** The replica for a generation request, or `undefined` when none fits. */
  selectForGeneration(criteria: SelectionCriteria): ReplicaState | undefined {
    return selectGenerationReplica(this.availableOf(criteria.service), criteria);
  }

  /** A replica whose weight versions change has finished a load: it takes requests again. */
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

  /** Replaces an incarnation by the next one. */
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

  /** The kept state of the announced incarnation, or a new one. */
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
