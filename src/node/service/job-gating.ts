/** Creates the gate that keeps work of ended jobs from beginning at this node. */
import { JobGate } from '../../coordination/service/jobs/index.js';
import type { NodeContext } from './node-context.js';
import { maxHeadAgeMs } from './readiness.js';

/** `fleetSize` is the number of nodes, which share the calls for changes. */
export function createJobGate({ heads, store, settings }: NodeContext, fleetSize: () => number): JobGate {
  return new JobGate({
    heads,
    isStoreAnswering: () => store.isAnswering(),
    maxAgeMs: () => maxHeadAgeMs(settings().jobEndBoundMs, fleetSize()),
  });
}
