/**
 * Replicas that start again under the id that they had, before real nodes: what ran there has ended, what was believed of them
 * is believed no more, and records that other writers leave in their table name no replica.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import type { ReplicaServer } from '../../../../emulator/replica/replica-server.js';
import { TABLE } from '../../../../platform/names.js';
import { monotonicMs } from '../../../../src/common/clock.js';
import { expectWhole, job } from '../../../support/jobs.js';
import {
  APPLICATION_SERVICE,
  MODEL,
  type ServiceNodeProcess,
  ServiceSystem,
  usualConfiguration,
} from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

/** Less than a replica that says nothing is waited for: the route's time-out is 2 s. */
const MAX_RESPONSE_MS = 1_200;
const EVENTS = 40;
const EVENT_MS = 25;
const SEED = 43;

describe('a replica that restarts under its ID', () => {
  let system: ServiceSystem;
  let node: ServiceNodeProcess;
  let requests = 0;

  beforeEach(async () => {
    system = await ServiceSystem.start();
  });

  afterEach(() => system.stop());

  async function startNode(): Promise<void> {
    node = await system.addNode('node-1');
    await system.untilReady(node);
  }

  const nextId = () => {
    requests += 1;
    return `lookup-${requests}`;
  };

  const lookup = () => system.lookup(node, nextId());
  const hasLogged = (change: string) =>
    node.log.some(
      ({ message, context }) => message === 'belief-changed' && String(context.change).startsWith(change),
    );

  it('has ended what it ran, also where its connections stay silent: the caller gets an outcome at once', async () => {
    system.configure(usualConfiguration(2, { lookup: { kind: 'unsafe', timeoutMs: 4_000 } }));
    const replica = await system.addApplication();
    await startNode();
    replica.isSilent = true;
    const startedAt = monotonicMs();
    const pendingAnswer = lookup();
    await until('it is asked', () => replica.connectionCount() > 0);
    await replica.startAgain({ isDark: true });
    expect((await pendingAnswer)?.status).to.equal(502);
    expect(monotonicMs() - startedAt).to.be.lessThan(MAX_RESPONSE_MS);
    expect(replica.received, 'it may have run, so it is not sent again').to.have.length(0);
    expect((await lookup())?.status).to.equal(200);
  });

  it('gets the request again where that is safe to retry', async () => {
    const replica = await system.addApplication();
    await startNode();
    replica.isSilent = true;
    const pendingAnswer = lookup();
    await until('it is asked', () => replica.connectionCount() > 0);
    await replica.startAgain({ isDark: true });
    expect((await pendingAnswer)?.status).to.equal(200);
  });

  it('does not inherit the latency and the failures of its former incarnation', async () => {
    const slow = await system.addApplication({ workMs: 400 });
    await system.addApplication({ workMs: 5 });
    await startNode();
    for (let count = 0; count < 6; count += 1) await lookup();
    slow.workMs = 5;
    await slow.startAgain();
    await until('the next life is known', () => hasLogged('restarted, started at'));
    const before = slow.received.length;
    await until('it is used like the other', async () => {
      await lookup();
      return slow.received.length > before;
    });
  });

  it('continues no stream: the items continue elsewhere and become whole', async () => {
    const engines = await Promise.all(
      [1, 2, 3].map(() => system.addEngine({ events: EVENTS, workMs: EVENT_MS })),
    );
    await system.addApplication();
    await startNode();
    const submitted = job('job-1');
    expect(await system.trainer.submit(node.url, submitted)).to.equal(202);
    const [busy] = engines as [ReplicaServer];
    await until('it runs items', () => busy.running > 0);
    await busy.startAgain({ isDark: true });
    expectWhole(await system.trainer.readAll([node.url], 'job-1', 6), submitted, EVENTS);
  });

  it('is loaded with the newest version again when it restarted with an older one', async () => {
    const engines = await Promise.all([1, 2].map(() => system.addEngine()));
    await startNode();
    const [engine] = engines as [ReplicaServer];
    system.nameVersion(2);
    await until('all have it', () => engines.every(({ versions }) => versions.get(MODEL) === 2));
    engine.versions.set(MODEL, 1);
    await engine.startAgain();
    await until('it has it again', () => engine.versions.get(MODEL) === 2);
    expect(engine.orders.at(-1)?.expected, 'orders are counted anew').to.equal(0);
  });

  it('is not loaded by a late load command for its former incarnation once it has newer weights', async () => {
    const engine = await system.addEngine();
    await startNode();
    engine.ordersToDelay = 1;
    engine.lateOrderMs = 2_500;
    system.nameVersion(2);
    await until('an order is lost', () => engine.orders.length > 0);
    await engine.startAgain();
    system.nameVersion(3);
    await until('it has the newest', () => engine.versions.get(MODEL) === 3);
    await until('the late one has come', () => engine.orders.length > 1 && engine.ordersToDelay === 0);
    expect(engine.versions.get(MODEL)).to.equal(3);
  });

  it('shows in its report that it has restarted before its record does', async () => {
    const engine = await system.addEngine();
    await startNode();
    engine.versions.set(MODEL, 1);
    const row = engine.row();
    await engine.startAgain();
    system.store.rows.put(TABLE.replicas, engine.id, row);
    system.nameVersion(2);
    await until('the next life is known and loaded', () => engine.versions.get(MODEL) === 2);
  });

  it('is not ready again by a late record of its former incarnation once it is draining', async () => {
    const [leaving, staying] = (await Promise.all([system.addApplication(), system.addApplication()])) as [
      ReplicaServer,
      ReplicaServer,
    ];
    await startNode();
    const before = leaving.row();
    await leaving.startAgain({ clockStepMs: 5 });
    leaving.announce('draining');
    await until('it drains', () => hasLogged('draining'));
    const received = leaving.received.length;
    system.store.rows.put(TABLE.replicas, leaving.id, { ...before, born: leaving.bornMs - 5 });
    await until('the late record is heard of', () => hasLogged('possibly a delayed announcement'));
    for (let count = 0; count < 20; count += 1) expect((await lookup())?.status).to.equal(200);
    expect(leaving.received.length).to.equal(received);
    expect(staying.received.length).to.be.greaterThan(0);
  });

  it('and records of other writers: nothing is sent to an address that no valid record named', async () => {
    const replica = await system.addApplication();
    const withdrawn = await system.addApplication();
    withdrawn.withdraw();
    await startNode();
    const { rows } = system.store;
    const good = withdrawn.row();
    const damaged: readonly Record<string, unknown>[] = [
      { ...good, state: 'broken' },
      { ...good, slots: -1 },
      { ...good, slots: 1e300 },
      { ...good, zone: undefined },
      { ...good, born: 'now' },
      { ...good, service: 'nobody' },
      { ...good, addr: 'not an address' },
      { ...good, seq: undefined },
      { ...good, models: 3 },
      { ...good, coldLeftMs: null },
    ];
    for (const [at, row] of damaged.entries()) rows.put(TABLE.replicas, `strange-${at}`, row);
    const randomRows = fc.sample(fc.json({ maxDepth: 8 }), { numRuns: 40, seed: SEED });
    for (const [at, text] of randomRows.entries())
      rows.put(TABLE.replicas, `drawn-${at}`, JSON.parse(text) as object);
    await until('they are heard of', () => hasLogged('invalid announcement'));
    for (let count = 0; count < 30; count += 1) expect((await lookup())?.status).to.equal(200);
    expect(withdrawn.received).to.have.length(0);
    expect(replica.received.length).to.be.at.least(30);
    expect(node.child.exitCode).to.equal(null);
  });

  it('is unavailable while its record is invalid, and available with its own next one', async () => {
    const [one, other] = (await Promise.all([system.addApplication(), system.addApplication()])) as [
      ReplicaServer,
      ReplicaServer,
    ];
    await startNode();
    system.store.rows.put(TABLE.replicas, one.id, { service: APPLICATION_SERVICE, addr: one.address });
    await until('it is gone', () => hasLogged('gone with its record'));
    const received = one.received.length;
    for (let count = 0; count < 10; count += 1) expect((await lookup())?.status).to.equal(200);
    expect(one.received.length).to.equal(received);
    expect(other.received.length).to.be.at.least(10);
    one.beat();
    await until('it is used again', async () => {
      await Promise.all([lookup(), lookup(), lookup(), lookup()]);
      return one.received.length > received;
    });
  });

  it('in a zone that is out of use gets nothing until the zone is back in use', async () => {
    const [otherZone, evacuatedZone] = (await Promise.all([
      system.addApplication({ zone: 'zone-b' }),
      system.addApplication({ zone: 'zone-a' }),
    ])) as [ReplicaServer, ReplicaServer];
    await startNode();
    system.store.rows.put(TABLE.operator, 'evacuate/zone-a', {});
    await until('the zone is out of use', () => hasLogged('out of use'));
    for (let count = 0; count < 10; count += 1) expect((await lookup())?.status).to.equal(200);
    expect(evacuatedZone.received).to.have.length(0);
    expect(otherZone.received).to.have.length(10);
    await otherZone.startAgain();
    system.store.rows.remove(TABLE.operator, 'evacuate/zone-a');
    await until('it is used again', async () => {
      await lookup();
      return evacuatedZone.received.length > 0;
    });
  });
});
