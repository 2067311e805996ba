/** Builds the commander of weight loads: it acts while this node holds the lease of that task. */
import type { JobOwnership } from '../../coordination/service/jobs/index.js';
import type { LeaderLease } from '../../coordination/service/leadership/index.js';
import { LoadCommander } from '../../coordination/service/weights/index.js';
import type { NodeContext } from './service-node-parts.js';

/** `ownership` knows what the jobs of each model have lately required. */
export function createLoadCommander(
  { routing, directory, versions, client, metrics, logger, self }: NodeContext,
  lease: LeaderLease,
  ownership: JobOwnership,
): LoadCommander {
  return new LoadCommander({
    routing,
    directory,
    versions,
    client,
    lease,
    demandOf: (model) => ownership.demandOf(model),
    requestsOf: (model) => ownership.requestsOf(model),
    nodeName: self.node,
    metrics,
    logger,
  });
}
