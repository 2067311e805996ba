/** Faults between nodes: calls that arrive late, and nodes that stand still or end while calls are on their way. */
import { sleep } from '../../src/common/clock.js';
import type { Random } from '../../src/common/random.js';
import { kill, type ServiceNodeProcess } from '../../test/support/service-system.js';
import { anyNode, restart } from './node-faults.js';
import type { Stage } from './stage.js';

/** How long calls are held, and longest time from the last bytes of a caller to its end, milliseconds. */
const SHORTEST_HOLD_MS = 4_000;
const LONGEST_HOLD_MS = 12_000;
const LONGEST_END_MS = 2_000;
/** Time for which calls are on their way before their caller is killed, milliseconds. */
const ON_THE_WAY_MS = 150;

/** The node to which the others send most, or any. */
function calledNode(stage: Stage): ServiceNodeProcess {
  const bytes = ({ relay }: ServiceNodeProcess) => (relay ? relay.deliveredBytes + relay.heldBytes : 0);
  const [busiest] = [...stage.nodes.values()].sort((left, right) => bytes(right) - bytes(left));
  if (!busiest || stage.random.integer(4) === 0) return anyNode(stage);
  stage.affected.add(busiest.name);
  return busiest;
}

function otherNode({ nodes, random }: Stage, than: ServiceNodeProcess): ServiceNodeProcess {
  return random.pick([...nodes.values()].filter((node) => node !== than));
}

/** Holds the calls to a node from now on; returns the way to let later ones pass. */
function hold({ relay }: ServiceNodeProcess, random: Random): () => void {
  const isEnding = random.integer(2) === 0;
  relay?.hold({
    delayMs: () => SHORTEST_HOLD_MS + random.integer(LONGEST_HOLD_MS - SHORTEST_HOLD_MS),
    ...(isEnding ? { endAfterMs: random.integer(LONGEST_END_MS) } : {}),
  });
  return () => relay?.hold(undefined);
}

/** Calls to one node arrive seconds late, the end of their connections later still or never. */
export async function lateCalls(stage: Stage, forMs: number): Promise<void> {
  const release = hold(calledNode(stage), stage.random);
  await sleep(forMs);
  release();
}

/** Calls to one node are held, and one of their callers is killed. */
export async function callerKilled(stage: Stage, forMs: number): Promise<void> {
  const called = calledNode(stage);
  const caller = otherNode(stage, called);
  const release = hold(called, stage.random);
  await sleep(ON_THE_WAY_MS);
  await kill(caller);
  await sleep(forMs);
  release();
  await restart(stage, caller.name);
}

/** A node stands still; meanwhile one of its callers is killed and the others are stopped in series. */
export async function frozenBesideStops(stage: Stage, forMs: number): Promise<void> {
  const called = calledNode(stage);
  const caller = otherNode(stage, called);
  const others = [...stage.nodes.values()].filter((node) => node !== called && node !== caller);
  called.child.kill('SIGSTOP');
  const thawed = sleep(forMs).then(() => called.child.kill('SIGCONT'));
  await sleep(ON_THE_WAY_MS);
  await kill(caller);
  for (const node of others) {
    await kill(node, 'SIGTERM');
    await restart(stage, node.name);
  }
  await restart(stage, caller.name);
  await thawed;
}
