/** The processes of a soak: their start, and the restart of replicas that a request crashed. */
import type { ReplicaServer } from '../../emulator/replica/replica-server.js';
import { monotonicMs, sleep } from '../../src/common/clock.js';
import { Random } from '../../src/common/random.js';
import type { ServiceNodeProcess, ServiceSystem } from '../../test/support/service-system.js';
import { LARGE } from '../../test/support/tenants.js';
import { ConfigurationSeries, MODELS, SECOND_SERVICE } from './configuration-series.js';
import type { History } from './records.js';
import { FATAL_PREFIX } from './replica-faults.js';
import type { Shape } from './shape.js';
import type { Stage } from './stage.js';

/** Replicas of the service to which a route moves now and then. */
const SECOND_APPLICATIONS = 2;
/** Processes that start at the same time. */
const STARTING = 12;
/** Events of a stream, and the time between two, milliseconds. */
export const EVENTS = 24;
const EVENT_MS = 12;
/** Time until a replica that crashed under a request is back, milliseconds. */
const RESTART_MS = 1_500;
/** Length of a window of usage, and when its report is due, milliseconds. */
export const WINDOW_MS = 2_000;
const USAGE_DUE_MS = 10_000;

const times = (count: number) => Array.from({ length: count }, (_, at) => at);

/** Starts the processes of a shape, with the first configuration in force. */
export async function prepare(system: ServiceSystem, seed: number, shape: Shape): Promise<Stage> {
  await system.reportUsage(WINDOW_MS, USAGE_DUE_MS);
  if (shape.relaysPeers) system.relayPeers();
  const configurations = new ConfigurationSeries(system, shape.idleRoutes, seed % 2 === 0);
  configurations.change();
  system.trainer.key = LARGE.apiKeys[0];
  const { store } = system;
  store.delayMs = shape.storeAnswerMs;
  store.readsPerSecond = shape.storeReadsPerSecond;
  store.writesPerSecond = shape.storeWritesPerSecond;
  const models = Object.fromEntries(MODELS.map((model) => [model, 1]));
  const zoneOf = (at: number) => `zone-${(at % shape.zones) + 1}`;
  const addEngine = () => system.addEngine({ models, events: EVENTS, workMs: EVENT_MS });
  const engines = await Promise.all(times(shape.engines).map(addEngine));
  const applications = await Promise.all(
    times(shape.applications).map((at) =>
      system.addApplication({ zone: zoneOf(at), slots: shape.applicationSlots }),
    ),
  );
  for (const at of times(SECOND_APPLICATIONS))
    await system.addApplication({
      service: SECOND_SERVICE,
      zone: zoneOf(at),
      slots: shape.applicationSlots,
    });
  const names = times(shape.nodes).map((at) => `node-${at + 1}`);
  const settingsOf = (name: string) => ({
    zone: zoneOf(names.indexOf(name)),
    'bounds.configApplyMs': String(shape.configurationBoundMs),
  });
  const nodes = await startAll(system, names, settingsOf);
  return {
    system,
    nodes: new Map(nodes.map((node) => [node.name, node])),
    engines: new Set(engines),
    applications,
    addEngine,
    settingsOf,
    configurations,
    storeAnswerMs: shape.storeAnswerMs,
    random: new Random(seed),
    affected: new Set(),
    sendCrowd: async () => {},
  };
}

/** Starts the nodes, `STARTING` at a time, and waits until all are ready. */
async function startAll(
  system: ServiceSystem,
  names: readonly string[],
  settingsOf: Stage['settingsOf'],
): Promise<ServiceNodeProcess[]> {
  const nodes: ServiceNodeProcess[] = [];
  for (let from = 0; from < names.length; from += STARTING) {
    const some = names.slice(from, from + STARTING);
    nodes.push(...(await Promise.all(some.map((name) => system.addNode(name, settingsOf(name))))));
  }
  await Promise.all(nodes.map((node) => system.untilReady(node)));
  return nodes;
}

/** A replica that crashed under a request restarts at its address; the crash is recorded. */
export function restartAfterFatal(stage: Stage, replica: ReplicaServer, history: History): void {
  replica.fatalPrefix = FATAL_PREFIX;
  replica.onFatal = async (body) => {
    history.fatalEnds.push({ body, atMs: monotonicMs() });
    await sleep(RESTART_MS);
    const next = await stage.system.restartReplica(replica);
    stage.applications.push(next);
    restartAfterFatal(stage, next, history);
  };
}
