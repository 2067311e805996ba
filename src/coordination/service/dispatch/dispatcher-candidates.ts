/**
 * The nodes to call for a service: one of its dispatchers, then the fallback in this node's zone. Of two
 * dispatchers drawn at random the less loaded is called, so that nodes do not all choose the same one.
 *
 * Owns the selection per service, until the fleet or the replicas change, and the last capacity that each
 * dispatcher reported. Where all are ejected there is no candidate, and the caller dispatches by itself.
 */
import { monotonicMs } from '../../../common/clock.js';
import {
  type DispatcherSelection,
  type FleetMember,
  type ReplicaDirectory,
  selectDispatchers,
} from '../../../state/service/replicas/index.js';
import type { ServiceCapacity } from './dispatch-call.js';

/** Age up to which a reported capacity counts, milliseconds. Chosen, not measured. */
const MAX_CAPACITY_AGE_MS = 1_000;

/** What the candidates depend on. */
export interface CandidateServices {
  readonly nodeName: string;
  readonly zone: string;
  readonly members: () => readonly FleetMember[];
  readonly directory: ReplicaDirectory;
}

interface ReportedCapacity {
  readonly capacity: ServiceCapacity;
  readonly reportedAtMs: number;
}

export class DispatcherCandidates {
  private readonly selections = new Map<string, DispatcherSelection>();
  private readonly capacities = new Map<string, ReportedCapacity>();
  /** Names of the dispatchers last given to `onSelected`, by service. */
  private readonly selectedNames = new Map<string, string>();

  /** `onSelected` is called with the names, separated by spaces, when the dispatchers of a service change. */
  constructor(
    private readonly services: CandidateServices,
    private readonly isCallable: (name: string) => boolean,
    private readonly onSelected: (service: string, names: string) => void,
  ) {}

  /** The fleet or the replicas have changed. */
  invalidate(): void {
    this.selections.clear();
  }

  recordCapacity(name: string, capacity: ServiceCapacity): void {
    this.capacities.set(name, { capacity, reportedAtMs: monotonicMs() });
  }

  /** Whether the service has dispatchers; else each node dispatches for itself. */
  hasDispatchers(service: string): boolean {
    return this.selectionOf(service).dispatchers.length > 0;
  }

  /** Nodes to call, in this order; none where this node dispatches by itself. May contain this node. */
  of(service: string): FleetMember[] {
    const { dispatchers, fallback } = this.selectionOf(service);
    const healthy = dispatchers.filter(({ name }) => this.isCallable(name));
    if (healthy.length > 0) return [this.pickLessLoaded(healthy), ...(fallback ? [fallback] : [])];
    return fallback && this.isCallable(fallback.name) ? [fallback] : [];
  }

  private selectionOf(service: string): DispatcherSelection {
    const known = this.selections.get(service);
    if (known) return known;
    const { directory, members, zone } = this.services;
    const slots = directory.availableOf(service).map(({ replica }) => replica.slots);
    const selection = selectDispatchers({ service, slots, members: members(), zone });
    this.selections.set(service, selection);
    this.reportSelection(service, selection.dispatchers.map(({ name }) => name).join(' '));
    return selection;
  }

  private reportSelection(service: string, names: string): void {
    if ((this.selectedNames.get(service) ?? '') === names) return;
    this.selectedNames.set(service, names);
    this.onSelected(service, names);
  }

  private pickLessLoaded(dispatchers: readonly FleetMember[]): FleetMember {
    const one = dispatchers[Math.floor(Math.random() * dispatchers.length)] as FleetMember;
    const other = dispatchers[Math.floor(Math.random() * dispatchers.length)] as FleetMember;
    return this.load(other.name) < this.load(one.name) ? other : one;
  }

  /** Occupied slots and queued requests for each slot; 0 where nothing recent is known. */
  private load(name: string): number {
    const last = this.capacities.get(name);
    if (!last || monotonicMs() - last.reportedAtMs > MAX_CAPACITY_AGE_MS) return 0;
    const { free, slots, waiting } = last.capacity;
    return (slots - free + waiting) / Math.max(1, slots);
  }
}
