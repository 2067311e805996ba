/**
 * Dispatcher selection: which nodes schedule the requests for a service. In a large fleet a node's own
 * requests say little of a replica's load, so a service's requests go through few nodes.
 *
 * Pure: weighted rendezvous hashing over the fleet members, so that all nodes find the same dispatchers
 * without a message, and few change when nodes come or go. While nodes disagree a service has more
 * dispatchers; replicas decline what exceeds their slots.
 */
import { xxHash32 } from 'js-xxhash';

/** A node as dispatcher selection sees it. */
export interface FleetMember {
  readonly name: string;
  /** Where it answers other nodes, `IP:PORT`. */
  readonly peerAddress: string;
  readonly zone: string;
  /** Processor share, in cores. */
  readonly capacity: number;
}

/** Replicas for each dispatcher: some hundreds of requests a second. Chosen, not measured. */
const REPLICAS_PER_DISPATCHER = 32;
/** Least processor share of a dispatcher, relative to the strongest node. Chosen, not measured. */
const MIN_RELATIVE_CAPACITY = 0.5;
const HASH_RANGE = 2 ** 32;

/** Inputs of dispatcher selection. */
export interface DispatcherQuery {
  readonly service: string;
  /** Slots of each available replica of the service. */
  readonly slots: readonly number[];
  readonly members: readonly FleetMember[];
  /** Zone of the node that asks. */
  readonly zone: string;
}

/** The dispatchers of a service; none where each node dispatches for itself. */
export interface DispatcherSelection {
  readonly dispatchers: readonly FleetMember[];
  /** Next in rank order in the zone of the node that asks, for when all dispatchers are ejected. */
  readonly fallback: FleetMember | undefined;
}

export function selectDispatchers({ service, slots, members, zone }: DispatcherQuery): DispatcherSelection {
  if (!needsDispatchers(members.length, slots)) return { dispatchers: [], fallback: undefined };
  const ranked = rankDispatchers(service, members);
  const dispatchers = ranked.slice(0, dispatcherCount(slots.length));
  const fallback = ranked.find((member) => member.zone === zone && !dispatchers.includes(member));
  return { dispatchers, fallback };
}

/**
 * Whether a service needs dispatchers: where nodes outnumber the slots of a replica, a node has less than one
 * request in flight at a full replica, and learns nothing from its own.
 */
export function needsDispatchers(nodeCount: number, slots: readonly number[]): boolean {
  return slots.length > 0 && nodeCount > Math.min(...slots);
}

/** Dispatchers of a service with so many replicas. */
export function dispatcherCount(replicaCount: number): number {
  return Math.max(1, Math.ceil(replicaCount / REPLICAS_PER_DISPATCHER));
}

/** The members that are strong enough, in rank order for `service`; the weight is the processor share. */
export function rankDispatchers(service: string, members: readonly FleetMember[]): FleetMember[] {
  const strongest = Math.max(0, ...members.map(({ capacity }) => capacity));
  const able = members.filter(({ capacity }) => capacity >= strongest * MIN_RELATIVE_CAPACITY);
  const scored = able.map((member) => ({ member, score: rendezvousScore(service, member) }));
  scored.sort((one, other) => other.score - one.score || (one.member.name < other.member.name ? -1 : 1));
  return scored.map(({ member }) => member);
}

function rendezvousScore(service: string, { name, capacity }: FleetMember): number {
  const drawn = (xxHash32(`${service}|${name}`) + 1) / (HASH_RANGE + 1);
  return -Math.max(capacity, Number.EPSILON) / Math.log(drawn);
}
