/** Builds the commander of weight loads: it acts while this node holds the lease of that task. */
import type { JobOwnership } from '../../coordination/service/jobs/index.js';
import type { LeaderLease } from '../../coordination/service/leadership/index.js';
import { LoadCommander } from '../../coordination/service/weights/index.js';
import type { NodeContext } from './service-node-parts.js';

/** `ownership` knows what the jobs of each model have lately required. */
export function createLoadCommander(
  context: NodeContext,
  lease: LeaderLease,
  ownership: JobOwnership,
): LoadCommander {
  const nodeName = context.self.node;
  const demandOf = (model: string) => ownership.heads.demandOf(model);
  const requestsOf = (model: string) => ownership.heads.requestsOf(model);
  return new LoadCommander({ ...context, lease, nodeName, demandOf, requestsOf });
}
