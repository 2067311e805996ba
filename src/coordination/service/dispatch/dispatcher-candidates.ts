/**
 * Nodes to call for a service: one of its dispatchers, then the fallback in this node's zone. The dispatcher
 * is the less loaded of two random ones (power of two choices). Selections are cached until the fleet or the
 * replicas change. If all candidates are ejected there are none, and this node dispatches itself.
 */
import { monotonicMs } from '../../../common/clock.js';
import {
  type DispatcherSelection,
  type FleetMember,
  type ReplicaDirectory,
  selectDispatchers,
} from '../../../state/service/replicas/index.js';
import type { ServiceCapacity } from './dispatch-call.js';

/** Maximum age of a reported capacity, milliseconds. */
const MAX_CAPACITY_AGE_MS = 1_000;

/** Dependencies of `DispatcherCandidates`. */
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
  /** Names last passed to `onSelected`, by service. */
  private readonly selectedNames = new Map<string, string>();

  /** `onSelected` is called when the dispatchers of a service change. The names are separated by spaces. */
  constructor(
    private readonly services: CandidateServices,
    private readonly isCallable: (name: string) => boolean,
    private readonly onSelected: (service: string, names: string) => void,
  ) {}

  /** Discards the cached selections after a change of the fleet or the replicas. */
  invalidate(): void {
    this.selections.clear();
  }

  recordCapacity(name: string, capacity: ServiceCapacity): void {
    this.capacities.set(name, { capacity, reportedAtMs: monotonicMs() });
  }

  /** Whether the service has dispatchers. Otherwise each node dispatches its own requests. */
  hasDispatchers(service: string): boolean {
    return this.selectionOf(service).dispatchers.length > 0;
  }

  /** Nodes to call, in order; empty if this node dispatches itself. May contain this node. */
  of(service: string): FleetMember[] {
    const { dispatchers, fallback } = this.selectionOf(service);
    const healthy = dispatchers.filter(({ name }) => this.isCallable(name));
    if (healthy.length > 0) return [this.pickLessLoaded(healthy), ...(fallback ? [fallback] : [])];
    return fallback && this.isCallable(fallback.name) ? [fallback] : [];
  }

  private selectionOf(service: string): DispatcherSelection {
    const cached = this.selections.get(service);
    if (cached) return cached;
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
    const first = dispatchers[Math.floor(Math.random() * dispatchers.length)] as FleetMember;
    const second = dispatchers[Math.floor(Math.random() * dispatchers.length)] as FleetMember;
    return this.load(second.name) < this.load(first.name) ? second : first;
  }

  /** Occupied slots and queued requests per slot; 0 without a recent report. */
  private load(name: string): number {
    const last = this.capacities.get(name);
    if (!last || monotonicMs() - last.reportedAtMs > MAX_CAPACITY_AGE_MS) return 0;
    const { free, slots, waiting } = last.capacity;
    return (slots - free + waiting) / Math.max(1, slots);
  }
}
