/**
 * Which nodes deal out the places of a service's replicas: its homes. It answers fleets in which each node sees so little of a
 * replica's load that its own requests in flight tell nothing. All nodes find the same homes by rendezvous over the nodes at
 * work, without a message; when nodes come or go few replicas move, and where nodes disagree for a while a replica has two homes
 * that each see a part of its load, as without homes.
 *
 * Pure decisions.
 */
import { xxHash32 } from 'js-xxhash';

/** A node as the choice of homes sees it. */
export interface FleetMember {
  readonly name: string;
  /** Where it answers other nodes, `IP:PORT`. */
  readonly peerAddress: string;
  readonly zone: string;
  /** Processor share, in cores. */
  readonly capacity: number;
}

/** Replicas that one home deals out: some hundreds of requests a second, of which a home is to bear the most. */
const REPLICAS_PER_DISPATCHER = 32;
/** Homes have at least this part of the processor of the strongest node: a home does work for many. */
const MIN_RELATIVE_CAPACITY = 0.5;
const HASH_RANGE = 2 ** 32;

/** How many homes a service with so many replicas has. */
export function dispatcherCount(replicaCount: number): number {
  return Math.max(1, Math.ceil(replicaCount / REPLICAS_PER_DISPATCHER));
}

/** The members that can be homes, the first in line for `service` first; more capacity counts for more. */
export function rankDispatchers(service: string, members: readonly FleetMember[]): FleetMember[] {
  const most = Math.max(0, ...members.map(({ capacity }) => capacity));
  const able = members.filter(({ capacity }) => capacity >= most * MIN_RELATIVE_CAPACITY);
  const weighted = able.map((member) => ({ member, weight: weightOf(service, member) }));
  weighted.sort((one, other) => other.weight - one.weight || (one.member.name < other.member.name ? -1 : 1));
  return weighted.map(({ member }) => member);
}

/** The home among `homes` that deals out a replica. */
export function homeOf(replicaId: string, homes: readonly FleetMember[]): FleetMember | undefined {
  let best: FleetMember | undefined;
  let bestWeight = -1;
  for (const home of homes) {
    const weight = xxHash32(`${replicaId}|${home.name}`);
    if (weight <= bestWeight) continue;
    best = home;
    bestWeight = weight;
  }
  return best;
}

function weightOf(service: string, { name, capacity }: FleetMember): number {
  const drawn = (xxHash32(`${service}|${name}`) + 1) / (HASH_RANGE + 1);
  return -Math.max(capacity, Number.EPSILON) / Math.log(drawn);
}
