/**
 * Which nodes hold a revision of the configuration, by a call to each that may be alive; no answer counts as
 * no.
 */
import type { PeerClient } from '../../../protocol/resource/peer.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { NodeRegistry } from './node-registry.js';

/** Nodes that hold a revision. */
export interface RevisionHolders {
  readonly revision: number;
  /** Whether the store has committed it: some node holds it. */
  readonly accepted: boolean;
  /** Whether every node that may be alive holds it. */
  readonly inForceEverywhere: boolean;
  readonly holders: number;
  readonly members: number;
}

/** Calls all nodes. */
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
