/**
 * The tree along which configuration spreads in a zone. Each node works it out from its own view of the
 * members: the order is by rendezvous weight, so that a change of members moves few nodes. Views may differ for
 * a while; that costs time, not safety, because confirmations carry their age.
 */
import type { MemberRecord } from '../protocol/peer.js';
import { rankByRendezvous } from '../state/rendezvous.js';

/** The parent of a node, or `undefined` for the root, which reads the table itself. */
export function parentInTree(
  own: MemberRecord,
  members: readonly MemberRecord[],
  fanout: number,
): MemberRecord | undefined {
  const zoneMembers = members.filter((member) => member.zone === own.zone);
  const ranked = rankByRendezvous(
    `config-source/${own.zone}`,
    zoneMembers.map((member) => member.id),
  );
  const index = ranked.indexOf(own.id);
  if (index <= 0) return undefined;
  const parentId = ranked[Math.floor((index - 1) / fanout)];
  return zoneMembers.find((member) => member.id === parentId);
}
