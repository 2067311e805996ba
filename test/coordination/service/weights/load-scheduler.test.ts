/** Load commands: one leader at a time, delayed commands have no effect, and every model gets replicas. */
import { expect } from 'chai';
import { ok } from 'neverthrow';
import type { ReplicaServer } from '../../../../emulator/replica/replica-server.js';
import {
  LoadScheduler,
  type LoadSchedulerServices,
} from '../../../../src/coordination/service/weights/load-scheduler.js';
import {
  maxUsefulReplicas,
  planReplicas,
  shareReplicas,
} from '../../../../src/coordination/service/weights/weight-plan.js';
import type { Replica } from '../../../../src/protocol/service/replica.js';
import { RoutingTable } from '../../../../src/state/service/configuration/routing-table.js';
import { ReplicaDirectory } from '../../../../src/state/service/replicas/replica-directory.js';
import { WeightVersions } from '../../../../src/state/service/replicas/weight-versions.js';
import { replicaWith } from '../../../support/replicas.js';
import { kill, MODEL, type ServiceNodeProcess, ServiceSystem } from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

const LEASE_MS = 1_000;

describe('LoadScheduler', () => {
  let system: ServiceSystem;
  let engines: ReplicaServer[];

  beforeEach(async () => {
    system = await ServiceSystem.start();
    engines = await Promise.all([1, 2, 3, 4].map(() => system.addEngine()));
  });

  afterEach(() => system.stop());

  const leaseHolder = () =>
    system.store.rows.read<{ holder: { node: string } }>('sessions', 'duty/weight-orders')?.holder.node;

  const untilAllHaveVersion = (version: number) =>
    until(`all replicas have version ${version}`, () =>
      engines.every((engine) => engine.versions.get(MODEL) === version),
    );

  /** Commands of different leaders to a replica are at least a lease apart, with increasing fencing tokens. */
  function expectHandoverGuard(): void {
    for (const { orders } of engines)
      for (const [index, order] of orders.entries()) {
        const before = orders[index - 1];
        if (!before || before.holder === order.holder) continue;
        expect(order.atMs - before.atMs, 'time between commands of two leaders').to.be.greaterThan(LEASE_MS);
        expect(order.fence, 'fencing token').to.be.greaterThan(before.fence);
      }
  }

  async function startNodes(count: number): Promise<ServiceNodeProcess[]> {
    const nodes = await Promise.all(
      Array.from({ length: count }, (_, index) => system.addNode(`node-${index + 1}`)),
    );
    await Promise.all(nodes.map((node) => system.untilReady(node)));
    return nodes;
  }

  it('brings every replica to the newest version by one leader and one command per version', async () => {
    await startNodes(3);
    system.nameVersion(2);
    await untilAllHaveVersion(2);
    system.nameVersion(3);
    await untilAllHaveVersion(3);
    expect(new Set(engines.flatMap((engine) => engine.orders.map((order) => order.holder)))).to.have.length(
      1,
    );
    for (const engine of engines) expect(engine.orders.map((order) => order.version)).to.deep.equal([2, 3]);
  });

  it('starts the next load at the expected end of the previous one, even if that takes longer', async () => {
    const [slow, ...others] = engines as [ReplicaServer, ...ReplicaServer[]];
    await startNodes(1);
    system.nameVersion(2);
    await untilAllHaveVersion(2);
    slow.loadMs = 4_000;
    system.nameVersion(3);
    await until('the others have version 3', () =>
      others.every((engine) => engine.versions.get(MODEL) === 3),
    );
    expect(slow.orders.at(-1)?.version).to.equal(3);
    expect(slow.versions.get(MODEL)).to.equal(2);
  });

  it('continues on another node after the handover guard when the leader is killed', async () => {
    const nodes = await startNodes(3);
    system.nameVersion(2);
    await until('commands are sent', () => engines.some((engine) => engine.orders.length > 0));
    const leader = nodes.find((node) => node.name === leaseHolder()) as ServiceNodeProcess;
    await kill(leader);
    system.nameVersion(3);
    await untilAllHaveVersion(3);
    expect(leaseHolder()).to.not.equal(leader.name);
    expectHandoverGuard();
  });

  it('sends no command from a resumed leader before the store has confirmed its lease', async () => {
    const nodes = await startNodes(2);
    system.nameVersion(2);
    await untilAllHaveVersion(2);
    const leader = nodes.find((node) => node.name === leaseHolder()) as ServiceNodeProcess;
    leader.child.kill('SIGSTOP');
    system.nameVersion(3);
    await until(
      'another node sends commands',
      () => leaseHolder() !== leader.name && engines.some((engine) => engine.orders.length > 1),
    );
    leader.child.kill('SIGCONT');
    await untilAllHaveVersion(3);
    system.nameVersion(4);
    await untilAllHaveVersion(4);
    expectHandoverGuard();
  });

  it('sends commands that have no effect when they arrive late', async () => {
    const [engine] = engines;
    if (engine) {
      engine.ordersToDelay = 1;
      engine.lateOrderMs = 6_000;
    }
    await startNodes(1);
    system.nameVersion(2);
    await untilAllHaveVersion(2);
    system.nameVersion(3);
    await untilAllHaveVersion(3);
    await until(
      'the delayed command has arrived',
      () => (engine?.orders[0]?.atMs ?? 0) + 6_500 < performance.now(),
    );
    expect(engine?.versions.get(MODEL)).to.equal(3);
  });

  it('sends no commands while the store does not respond, and continues afterwards', async () => {
    await startNodes(2);
    system.nameVersion(2);
    await untilAllHaveVersion(2);
    system.store.mode = 'silent';
    system.nameVersion(3);
    const before = engines.flatMap((engine) => engine.orders).length;
    await until('the store failure is logged', () =>
      system.nodes.some((node) => node.log.some((record) => record.context.change === 'store silent')),
    );
    expect(engines.flatMap((engine) => engine.orders).length).to.equal(before);
    system.store.mode = 'answering';
    await untilAllHaveVersion(3);
  });
});

describe('LoadScheduler with a simulated lease', () => {
  const IDS = ['r1', 'r2', 'r3', 'r4'];
  const UNCONFIRMED_ATTEMPTS = 20;
  let directory: ReplicaDirectory;
  let versions: WeightVersions;
  let routing: RoutingTable;
  let commandedIds: string[];
  let controller: AbortController;

  beforeEach(() => {
    directory = new ReplicaDirectory();
    versions = new WeightVersions();
    routing = new RoutingTable();
    commandedIds = [];
    controller = new AbortController();
    const service = {
      name: 's',
      maxConnections: 9,
      models: [MODEL],
      engineSlots: 4,
      slowStartPerSecond: undefined,
    };
    const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    routing.install({ version: 1, routes: [], services: [service], limits, tenants: undefined });
    for (const [index, id] of IDS.entries())
      directory.set(
        replicaWith({
          id,
          address: addressAt(index),
          modelVersions: new Map([[MODEL, id === 'r1' ? 2 : 1]]),
        }),
      );
    versions.record(MODEL, 2);
  });

  const addressAt = (index: number) => `127.0.0.1:${index + 1}`;

  /** Runs a scheduler until it has sent `minCommands` commands. */
  async function runScheduler(minCommands: number, lease: object): Promise<void> {
    const report = { modelVersions: new Map(), isBusy: false, commandCount: 0, waiting: 0, running: 0 };
    const client = {
      report: async () => ok(report),
      load: async ({ id }: Replica) => {
        commandedIds.push(id);
        return ok('rejected');
      },
    };
    const services = {
      routing,
      directory,
      versions,
      client,
      lease: { isHeld: true, waitUntilHeld: async () => {}, ...lease },
      demandOf: () => 1,
      requestsOf: () => 0,
      nodeName: 'node-1',
      metrics: { loadCommands: { inc: () => {} } },
      logger: { record: () => {} },
    };
    const running = new LoadScheduler(services as unknown as LoadSchedulerServices).run(controller.signal);
    await until('commands are sent', () => commandedIds.length >= minCommands);
    controller.abort();
    await running;
  }

  it('delays no replica after failed confirmations, and starts with those furthest behind', async () => {
    let attempts = 0;
    const confirm = async () => {
      attempts += 1;
      if (attempts < UNCONFIRMED_ATTEMPTS) return undefined;
      versions.record(MODEL, 3);
      return { epoch: 1, isFresh: () => true };
    };
    await runScheduler(IDS.length - 1, { confirm, allowsAction: () => true });
    expect(commandedIds.slice(0, IDS.length - 1).sort()).to.deep.equal(['r2', 'r3', 'r4']);
  });

  it('skips a replica whose address is within the handover guard of another machine', async () => {
    const confirmed: string[] = [];
    const confirm = async (target: string) => {
      confirmed.push(target);
      return { epoch: 1, isFresh: () => true };
    };
    await runScheduler(2, { confirm, allowsAction: (target: string) => target !== addressAt(1) });
    expect(commandedIds).to.not.include('r2');
    expect(confirmed).to.include(addressAt(2)).and.to.not.include(addressAt(1));
  });
});

describe('planReplicas', () => {
  const replica = (id: string, versions: Record<string, number>) => ({
    id,
    versionOf: (model: string) => versions[model] ?? 1,
  });

  it('shares the replicas evenly among the models', () => {
    const replicas = ['r1', 'r2', 'r3', 'r4', 'r5', 'r6'].map((id) => replica(id, {}));
    const plan = planReplicas(replicas, [
      { model: 'a', version: 2, demand: 9 },
      { model: 'b', version: 1, demand: 1 },
      { model: 'c', version: 5, demand: 5 },
    ]);
    expect([...plan.values()].map((assigned) => assigned.length)).to.deep.equal([2, 2, 2]);
    expect(new Set([...plan.values()].flat().map(({ id }) => id))).to.have.length(6);
  });

  it('keeps a replica with the model that it is least behind on', () => {
    const replicas = [replica('r1', { a: 1, b: 7 }), replica('r2', { a: 4, b: 1 })];
    const plan = planReplicas(replicas, [
      { model: 'a', version: 5, demand: 1 },
      { model: 'b', version: 8, demand: 1 },
    ]);
    expect(plan.get('a')?.map(({ id }) => id)).to.deep.equal(['r2']);
    expect(plan.get('b')?.map(({ id }) => id)).to.deep.equal(['r1']);
  });

  it('gives replicas that cannot be shared evenly to the models with the highest demand', () => {
    const models = [
      { model: 'a', version: 2, demand: 35 },
      { model: 'b', version: 2, demand: 100 },
      { model: 'c', version: 2, demand: 101 },
    ];
    expect([...shareReplicas(5, models).values()]).to.deep.equal([1, 2, 2]);
    expect([...shareReplicas(7, models).values()]).to.deep.equal([2, 2, 3]);
    expect([...shareReplicas(2, models).values()]).to.deep.equal([1, 1, 1]);
  });

  it('leaves out replicas that no model can use and keeps existing assignments', () => {
    const ids = Array.from({ length: 300 }, (_, index) => `r${String(index).padStart(3, '0')}`);
    const maxUseful = maxUsefulReplicas(72, 8);
    expect(maxUseful).to.be.within(10, 20);
    const models = [{ model: 'a', version: 3, demand: 5, maxReplicas: maxUseful }];
    const first = planReplicas(
      ids.map((id) => replica(id, { a: 1 })),
      models,
    ).get('a');
    expect(first).to.have.length(maxUseful);
    const kept = new Set(ids.slice(100, 100 + maxUseful));
    const second = planReplicas(
      ids.map((id) => replica(id, { a: kept.has(id) ? 2 : 1 })),
      models,
    ).get('a');
    expect(new Set(second?.map(({ id }) => id))).to.deep.equal(kept);
    expect(maxUsefulReplicas(0, 8)).to.equal(Number.POSITIVE_INFINITY);
  });

  it('gives all replicas to a single model, and one to each model if there are more models than replicas', () => {
    const replicas = ['r1', 'r2', 'r3'].map((id) => replica(id, {}));
    expect(planReplicas(replicas, [{ model: 'a', version: 2, demand: 0 }]).get('a')).to.have.length(3);
    const models = ['a', 'b', 'c', 'd', 'e'].map((model) => ({ model, version: 2, demand: 1 }));
    for (const assigned of planReplicas(replicas, models).values()) expect(assigned).to.have.length(1);
  });
});
