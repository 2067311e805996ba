/** Counts the nodes that hold a configuration revision; a node that does not respond is not counted. */
import type { PeerClient } from '../../../protocol/resource/peer.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { NodeRegistry } from './node-registry.js';

export interface RevisionHolders {
  readonly revision: number;
  /** Whether at least one node holds the revision, so that it is known to be committed. */
  readonly accepted: boolean;
  /** Whether every node considered alive holds the revision. */
  readonly inForceEverywhere: boolean;
  readonly holders: number;
  readonly members: number;
}

export async function reportRevision(
  view: ConfigView,
  registry: NodeRegistry,
  peers: PeerClient,
  revision: number,
): Promise<RevisionHolders> {
  const others = registry.others();
  const answers = await Promise.all(others.map((node) => peers.revision(node.address)));
  const held = answers.filter((answer) => answer.isOk() && answer.value.revision >= revision).length;
  const isHeldHere = view.revision >= revision;
  const holders = held + (isHeldHere ? 1 : 0);
  const members = others.length + 1;
  return { revision, accepted: holders > 0, inForceEverywhere: holders >= members, holders, members };
}
