/** Creates the scheduler of weight loads, which is active while this node holds its leader lease. */
import type { JobOwnership } from '../../coordination/service/jobs/index.js';
import type { LeaderLease } from '../../coordination/service/leadership/index.js';
import { LoadScheduler } from '../../coordination/service/weights/index.js';
import type { NodeContext } from './node-context.js';

/** `ownership` supplies the recent demand of each model's jobs. */
export function createLoadScheduler(
  context: NodeContext,
  lease: LeaderLease,
  ownership: JobOwnership,
): LoadScheduler {
  const nodeName = context.self.node;
  const demandOf = (model: string) => ownership.heads.recentTokensOf(model);
  const requestsOf = (model: string) => ownership.heads.maxRecentItemsOf(model);
  return new LoadScheduler({ ...context, lease, nodeName, demandOf, requestsOf });
}
