/**
 * Selects the dispatchers of a service, the few nodes that schedule its requests; in a large fleet a node's
 * own requests say little about the load of a replica. Weighted rendezvous hashing over the fleet members
 * lets all nodes compute the same dispatchers without coordination, and few change when nodes join or leave.
 * While nodes disagree on the members, a service may have additional dispatchers; replicas decline what
 * exceeds their slots.
 */
import { xxHash32 } from 'js-xxhash';

/** A member of the fleet. */
export interface FleetMember {
  readonly name: string;
  /** Address for calls of other nodes, `IP:PORT`. */
  readonly peerAddress: string;
  readonly zone: string;
  /** CPU share, in cores. */
  readonly capacity: number;
}

/** Some hundreds of requests a second. */
const REPLICAS_PER_DISPATCHER = 32;
/** Smallest CPU share of a dispatcher, relative to the node with the largest. */
const MIN_RELATIVE_CAPACITY = 0.5;
const HASH_RANGE = 2 ** 32;

/** Input of `selectDispatchers`. */
export interface DispatcherQuery {
  readonly service: string;
  /** Slots of each available replica of the service. */
  readonly slots: readonly number[];
  readonly members: readonly FleetMember[];
  /** Zone of the calling node. */
  readonly zone: string;
}

/** Dispatchers of a service. Without any, each node dispatches for itself. */
export interface DispatcherSelection {
  readonly dispatchers: readonly FleetMember[];
  /** Next node by rank in the zone of the calling node, used if all dispatchers are ejected. */
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
 * Whether a service needs dispatchers. If nodes outnumber the slots of a replica, a node has less than one
 * request in flight at a full replica, too few to estimate its load.
 */
export function needsDispatchers(nodeCount: number, slots: readonly number[]): boolean {
  return slots.length > 0 && nodeCount > Math.min(...slots);
}

/** Number of dispatchers of a service. */
export function dispatcherCount(replicaCount: number): number {
  return Math.max(1, Math.ceil(replicaCount / REPLICAS_PER_DISPATCHER));
}

/**
 * Members with a sufficient CPU share by rank for `service`, the highest first. Weights are the CPU shares.
 */
export function rankDispatchers(service: string, members: readonly FleetMember[]): FleetMember[] {
  const strongest = Math.max(0, ...members.map(({ capacity }) => capacity));
  const eligible = members.filter(({ capacity }) => capacity >= strongest * MIN_RELATIVE_CAPACITY);
  const scored = eligible.map((member) => ({ member, score: rendezvousScore(service, member) }));
  scored.sort((left, right) => right.score - left.score || (left.member.name < right.member.name ? -1 : 1));
  return scored.map(({ member }) => member);
}

function rendezvousScore(service: string, { name, capacity }: FleetMember): number {
  const uniform = (xxHash32(`${service}|${name}`) + 1) / (HASH_RANGE + 1);
  return -Math.max(capacity, Number.EPSILON) / Math.log(uniform);
}
