/** Which node dispatches for the application service, as the nodes of a test see it. */
import { APPLICATION_SERVICE, type ServiceNodeProcess, type ServiceSystem } from './service-system.js';
import { until } from './wait.js';

/** Name of the dispatcher that a node logged last. */
function dispatcherAsSeenBy({ log }: ServiceNodeProcess): string | undefined {
  return log
    .filter(({ context }) => context.subject === 'home' && context.name === APPLICATION_SERVICE)
    .map(({ context }) => String(context.change).replace('dispatchers ', ''))
    .at(-1);
}

/** Sends lookups until all nodes have chosen the same dispatcher; resolves to it. */
export async function untilDispatcherIsKnown(
  system: ServiceSystem,
  nodes: readonly ServiceNodeProcess[],
): Promise<ServiceNodeProcess> {
  let lookups = 0;
  await until('all nodes agree on the dispatcher', async () => {
    for (const node of nodes) {
      lookups += 1;
      await system.lookup(node, `choosing-${lookups}`);
    }
    const names = nodes.map(dispatcherAsSeenBy);
    return names[0] !== undefined && names.every((name) => name === names[0]);
  });
  const [first] = nodes as [ServiceNodeProcess];
  return nodes.find(({ name }) => name === dispatcherAsSeenBy(first)) as ServiceNodeProcess;
}
