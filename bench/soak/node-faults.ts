/** Faults of node processes, and of their connections to the store. */
import { monotonicMs, sleep } from '../../src/common/clock.js';
import { kill, type ServiceNodeProcess } from '../../test/support/service-system.js';
import { type Fault, lasting, type Stage } from './stage.js';

/** Fraction of the nodes that a rolling restart stops at once. */
const ROLLED_FRACTION = 0.1;
/** Fraction of the nodes that the store rejects. */
const REJECTED_FRACTION = 0.35;

/** A node at random, noted as affected. */
export function anyNode({ nodes, random, affected }: Stage): ServiceNodeProcess {
  const node = random.pick([...nodes.values()]);
  affected.add(node.name);
  return node;
}

/** A fraction of the nodes, at least one. */
function someNodes({ nodes, random, affected }: Stage, fraction: number): ServiceNodeProcess[] {
  const all = [...nodes.values()];
  const first = random.integer(all.length);
  const count = Math.max(1, Math.round(all.length * fraction));
  const some = Array.from({ length: count }, (_, at) => all[(first + at) % all.length] as ServiceNodeProcess);
  for (const { name } of some) affected.add(name);
  return some;
}

/** Starts the next process under the name of one that has ended. */
export async function restart(stage: Stage, name: string): Promise<void> {
  stage.nodes.set(name, await stage.system.addNode(name, stage.settingsOf(name)));
}

export async function killOne(stage: Stage, forMs: number): Promise<void> {
  const node = anyNode(stage);
  await kill(node);
  await sleep(forMs);
  await restart(stage, node.name);
}

export async function killAll(stage: Stage, forMs: number): Promise<void> {
  const all = someNodes(stage, 1);
  await Promise.all(all.map((node) => kill(node)));
  await sleep(forMs);
  await Promise.all(all.map((node) => restart(stage, node.name)));
}

export async function stopOne(stage: Stage): Promise<void> {
  const node = anyNode(stage);
  await kill(node, 'SIGTERM');
  await restart(stage, node.name);
}

/** A rolling restart of some nodes at a time, for as long as the fault lasts. */
export async function rollNodes(stage: Stage, forMs: number): Promise<void> {
  const endsAtMs = monotonicMs() + forMs;
  do {
    const some = someNodes(stage, ROLLED_FRACTION);
    await Promise.all(some.map((node) => kill(node, 'SIGTERM')));
    await Promise.all(some.map((node) => restart(stage, node.name)));
  } while (monotonicMs() < endsAtMs);
}

export const pauseOne = lasting((stage) => {
  const { child } = anyNode(stage);
  child.kill('SIGSTOP');
  return () => child.kill('SIGCONT');
});

/** Cuts one node off the store in the way of `mode`. */
export const cutFromStore = (mode: 'cut' | 'freeze' | 'drop-answers'): Fault =>
  lasting((stage) => {
    const { proxy } = anyNode(stage);
    proxy.set(mode);
    return () => proxy.set('pass');
  });

/** The store rejects some nodes and serves the others. */
export const rejectedByStore = lasting((stage) => {
  const some = someNodes(stage, REJECTED_FRACTION);
  for (const { proxy } of some) proxy.set('cut');
  return () => {
    for (const { proxy } of some) proxy.set('pass');
  };
});
