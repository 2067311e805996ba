/** Builds the coordination layer of a node on its state layer. */
import { uniqueId } from '../../common/identifier.js';
import type { Lifecycle, LifecycleObserver } from '../../common/lifecycle.js';
import { Random } from '../../common/random.js';
import { ConfigFollower } from '../../coordination/resource/configuration/index.js';
import { MachineWatch, NodeRegistry } from '../../coordination/resource/membership/index.js';
import {
  ApplicationRelay,
  type NodeEvent,
  type NodeState,
  Router,
  WorkGate,
} from '../../coordination/resource/requests/index.js';
import { Delivery, Generator } from '../../coordination/resource/rollouts/index.js';
import { SingletonTasks } from '../../coordination/resource/singleton-tasks/index.js';
import { EngineMonitor } from '../../coordination/resource/weights/index.js';
import { EngineClient } from '../../protocol/resource/engine.js';
import { MachineListClient } from '../../protocol/resource/machine-list.js';
import { type NodeRecord, PeerClient } from '../../protocol/resource/peer.js';
import type { HttpClient } from '../../transport/http-client.js';
import type { Settings, Timing } from './settings.js';
import { listSingletonTasks } from './singleton-task-list.js';
import type { StateParts } from './state-parts.js';

/** Back ends of a service that a node uses, when not set. Chosen; its cost: docs/CAPACITY.md. */
const DEFAULT_SUBSET_SIZE = 64;
const SEED_MODULUS = 0x7fffffff;

/** Coordination of a node. */
export interface CoordinationParts {
  readonly peers: PeerClient;
  readonly nodes: NodeRegistry;
  readonly follower: ConfigFollower;
  readonly gate: WorkGate;
  readonly router: Router;
  readonly generator: Generator;
  readonly relay: ApplicationRelay;
  readonly delivery: Delivery;
  readonly monitor: EngineMonitor;
  readonly singletonTasks: SingletonTasks;
}

/** Dependencies of the coordination layer. */
export interface CoordinationBase {
  readonly settings: Settings;
  readonly timing: Timing;
  readonly address: string;
  readonly client: HttpClient;
  readonly state: StateParts;
  readonly lifecycle: Lifecycle<NodeState, NodeEvent>;
  readonly observer: LifecycleObserver;
}

/** Builds the coordination layer. */
export function buildCoordination(base: CoordinationBase): CoordinationParts {
  const { settings, timing, client, state, observer } = base;
  const { view, decisions, registry, rollouts: ledger, commits } = state;
  const nodeId = settings.node.id;
  const random = new Random(settings.seed ?? Date.now() % SEED_MODULUS);
  const peers = new PeerClient(client, settings.access.peerToken);
  const engines = new EngineClient(client);
  const nodes = buildRegistry(base);
  const { records, store, freshness } = state;
  const follower = new ConfigFollower(records, store, view, freshness, timing.holdMs, observer);
  const gate = new WorkGate(base.lifecycle, freshness);
  const subsetSize = settings.routing?.subsetSize ?? DEFAULT_SUBSET_SIZE;
  const router = new Router(nodeId, view, registry, random, subsetSize);
  const generator = new Generator(router, engines, gate, decisions, observer.metrics);
  const taskParts = {
    view,
    rollouts: { nodeId, view, ledger, commits, generator, decisions, observer },
    weights: { view, registry, engines, gate, decisions, observer },
    machineWatch: buildMachineWatch(base),
  };
  return {
    peers,
    nodes,
    follower,
    gate,
    router,
    generator,
    relay: new ApplicationRelay(router, client, gate, decisions, observer.metrics),
    delivery: new Delivery(state.batches, view, decisions, observer.metrics),
    monitor: new EngineMonitor(view, router, engines, timing.enginePollMs),
    singletonTasks: new SingletonTasks(state.leases, nodes, view, decisions, observer, () =>
      listSingletonTasks(taskParts),
    ),
  };
}

function buildRegistry(base: CoordinationBase): NodeRegistry {
  const { settings, timing, address, state, observer } = base;
  const { id, zone, machine } = settings.node;
  const own: NodeRecord = { id, address, zone, machine: machine ?? '', life: uniqueId() };
  const options = { heartbeatIntervalMs: timing.nodeBeatMs, expiryMs: timing.nodeExpiryMs };
  return new NodeRegistry(state.records, own, options, observer);
}

function buildMachineWatch(base: CoordinationBase): MachineWatch | undefined {
  const { machines } = base.settings.platform;
  if (machines === undefined) return undefined;
  const list = new MachineListClient(base.client, machines);
  const { store, view } = base.state;
  return new MachineWatch(list, store, view, base.observer.logger, base.timing.machinePollMs);
}
