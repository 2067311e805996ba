/**
 * Replicas that restart under the same ID: their requests have ended, and latency, failures and versions of the
 * previous process no longer apply. Invalid records of other writers do not become replicas.
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

/** Less than the route's timeout, which would end requests to an unresponsive replica. */
const MAX_RESPONSE_MS = 1_200;
const EVENTS = 40;
const EVENT_MS = 25;
const SEED = 43;

describe('restarted replicas and invalid records', () => {
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

  it('ends requests at a restarted replica at once, even if its old connections are not closed', async () => {
    system.configure(usualConfiguration(2, { lookup: { kind: 'unsafe', timeoutMs: 4_000 } }));
    const replica = await system.addApplication();
    await startNode();
    replica.isSilent = true;
    const startedAt = monotonicMs();
    const pendingAnswer = lookup();
    await until('the replica has read the request', () =>
      replica.unansweredIds.includes(`lookup-${requests}`),
    );
    await replica.startAgain({ isDark: true });
    expect((await pendingAnswer)?.status).to.equal(502);
    expect(monotonicMs() - startedAt).to.be.lessThan(MAX_RESPONSE_MS);
    expect(replica.received, 'the request may have run, so it is not retried').to.have.length(0);
    expect((await lookup())?.status).to.equal(200);
  });

  it('retries a request at a restarted replica if the request is safe to retry', async () => {
    const replica = await system.addApplication();
    await startNode();
    replica.isSilent = true;
    const pendingAnswer = lookup();
    await until('the replica has read the request', () =>
      replica.unansweredIds.includes(`lookup-${requests}`),
    );
    await replica.startAgain({ isDark: true });
    expect((await pendingAnswer)?.status).to.equal(200);
  });

  it('resets the latency and failures of a restarted replica', async () => {
    const slow = await system.addApplication({ workMs: 400 });
    await system.addApplication({ workMs: 5 });
    await startNode();
    for (let count = 0; count < 6; count += 1) await lookup();
    slow.workMs = 5;
    await slow.startAgain();
    await until('the restart is detected', () => hasLogged('restarted, started at'));
    const before = slow.received.length;
    await until('the restarted replica receives requests', async () => {
      await lookup();
      return slow.received.length > before;
    });
  });

  it('completes the items of a restarted replica on other replicas', async () => {
    const engines = await Promise.all(
      [1, 2, 3].map(() => system.addEngine({ events: EVENTS, workMs: EVENT_MS })),
    );
    await system.addApplication();
    await startNode();
    const submitted = job('job-1');
    expect(await system.trainer.submit(node.url, submitted)).to.equal(202);
    const [busy] = engines as [ReplicaServer];
    await until('the replica runs items', () => busy.running > 0);
    await busy.startAgain({ isDark: true });
    expectWhole(await system.trainer.readAll([node.url], 'job-1', 6), submitted, EVENTS);
  });

  it('loads the newest version on a replica that restarted with an older one', async () => {
    const engines = await Promise.all([1, 2].map(() => system.addEngine()));
    await startNode();
    const [engine] = engines as [ReplicaServer];
    system.nameVersion(2);
    await until('both replicas have version 2', () =>
      engines.every(({ versions }) => versions.get(MODEL) === 2),
    );
    engine.versions.set(MODEL, 1);
    await engine.startAgain();
    await until('the restarted replica has version 2', () => engine.versions.get(MODEL) === 2);
    expect(engine.orders.at(-1)?.expected, 'the command count starts from 0').to.equal(0);
  });

  it('ignores a delayed load command for the previous process of a replica', async () => {
    const engine = await system.addEngine();
    await startNode();
    engine.ordersToDelay = 1;
    engine.lateOrderMs = 2_500;
    system.nameVersion(2);
    await until('a command is delayed', () => engine.orders.length > 0);
    await engine.startAgain();
    system.nameVersion(3);
    await until('the replica has version 3', () => engine.versions.get(MODEL) === 3);
    await until(
      'the delayed command has arrived',
      () => engine.orders.length > 1 && engine.ordersToDelay === 0,
    );
    expect(engine.versions.get(MODEL)).to.equal(3);
  });

  it('detects a restart from the report of a replica before its record changes', async () => {
    const engine = await system.addEngine();
    await startNode();
    engine.versions.set(MODEL, 1);
    const row = engine.row();
    await engine.startAgain();
    system.store.rows.put(TABLE.replicas, engine.id, row);
    system.nameVersion(2);
    await until('the restarted replica has version 2', () => engine.versions.get(MODEL) === 2);
  });

  it('keeps a replica draining when a delayed record of its previous process arrives', async () => {
    const [leaving, staying] = (await Promise.all([system.addApplication(), system.addApplication()])) as [
      ReplicaServer,
      ReplicaServer,
    ];
    await startNode();
    const before = leaving.row();
    await leaving.startAgain({ clockStepMs: 5 });
    leaving.announce('draining');
    await until('the replica is draining', () => hasLogged('draining'));
    const received = leaving.received.length;
    system.store.rows.put(TABLE.replicas, leaving.id, { ...before, born: leaving.bornMs - 5 });
    await until('the delayed record is logged', () => hasLogged('possibly a delayed announcement'));
    for (let count = 0; count < 20; count += 1) expect((await lookup())?.status).to.equal(200);
    expect(leaving.received.length).to.equal(received);
    expect(staying.received.length).to.be.greaterThan(0);
  });

  it('sends no requests to the addresses of invalid records', async () => {
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
    await until('the invalid records are logged', () => hasLogged('invalid announcement'));
    for (let count = 0; count < 30; count += 1) expect((await lookup())?.status).to.equal(200);
    expect(withdrawn.received).to.have.length(0);
    expect(replica.received.length).to.be.at.least(30);
    expect(node.child.exitCode).to.equal(null);
  });

  it('does not use a replica while its record is invalid', async () => {
    const [one, other] = (await Promise.all([system.addApplication(), system.addApplication()])) as [
      ReplicaServer,
      ReplicaServer,
    ];
    await startNode();
    system.store.rows.put(TABLE.replicas, one.id, { service: APPLICATION_SERVICE, addr: one.address });
    await until('the replica is removed', () => hasLogged('gone with its record'));
    const received = one.received.length;
    for (let count = 0; count < 10; count += 1) expect((await lookup())?.status).to.equal(200);
    expect(one.received.length).to.equal(received);
    expect(other.received.length).to.be.at.least(10);
    one.beat();
    await until('the replica receives requests again', async () => {
      await Promise.all([lookup(), lookup(), lookup(), lookup()]);
      return one.received.length > received;
    });
  });

  it('sends no requests to an evacuated zone until the evacuation ends', async () => {
    const [otherZone, evacuatedZone] = (await Promise.all([
      system.addApplication({ zone: 'zone-b' }),
      system.addApplication({ zone: 'zone-a' }),
    ])) as [ReplicaServer, ReplicaServer];
    await startNode();
    system.store.rows.put(TABLE.operator, 'evacuate/zone-a', {});
    await until('the zone is evacuated', () => hasLogged('out of use'));
    for (let count = 0; count < 10; count += 1) expect((await lookup())?.status).to.equal(200);
    expect(evacuatedZone.received).to.have.length(0);
    expect(otherZone.received).to.have.length(10);
    await otherZone.startAgain();
    system.store.rows.remove(TABLE.operator, 'evacuate/zone-a');
    await until('the replica receives requests again', async () => {
      await lookup();
      return evacuatedZone.received.length > 0;
    });
  });
});
