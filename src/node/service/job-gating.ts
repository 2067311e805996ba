/** Creates the gate that keeps work of ended jobs from beginning at this node. */
import { monotonicMs } from '../../common/clock.js';
import { JobGate } from '../../coordination/service/jobs/index.js';
import { JobRepository } from '../../state/service/jobs/index.js';
import type { NodeContext } from './node-context.js';
import { maxHeadAgeMs } from './readiness.js';

/** Heads that are read for the gate are used by the gate alone; owners learn of them by the feed. */
export function createJobGate({ heads, store, settings }: NodeContext): JobGate {
  const repository = new JobRepository(store);
  return new JobGate({
    heads,
    isStoreAnswering: () => store.isAnswering(),
    maxAgeMs: () => maxHeadAgeMs(settings().jobEndBoundMs),
    refresh: async (jobId) => {
      const requestedAtMs = monotonicMs();
      const read = await repository.readCurrentHead(jobId);
      if (read.isErr()) return;
      if (read.value?.record.state === 'open') heads.confirmOpen(jobId, requestedAtMs);
      else heads.confirmEnded(jobId);
    },
  });
}
