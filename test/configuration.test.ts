/** Accepted configuration is in force everywhere within seconds and never reverts. */
import { expect } from 'chai';
import { sleep } from '../src/common/clock.js';
import { uniqueId } from '../src/common/identifier.js';
import { killProcess } from './support/processes.js';
import { type SystemNode, TestSystem } from './support/system.js';
import { until } from './support/wait.js';

/** Calls that a node must go on refusing once it has refused. */
const CALLS_AFTER_REFUSAL = 40;

describe('configuration', () => {
  let system: TestSystem;

  beforeEach(async () => {
    system = new TestSystem({ nodes: 3, applications: 1, timing: { acceptTimeoutMs: 1_000 } });
    await system.start();
  });
  afterEach(() => system.stop());

  const [A, B, C] = [0, 1, 2];
  const node = (index: number) => system.nodes[index] as SystemNode;
  const drain = (index: number, draining: boolean) =>
    system.operator(node(index)).patch('Backend', 'app-0', { spec: { draining } });
  const status = async (index: number) => (await system.operator(node(index)).status())._unsafeUnwrap().node;
  const call = async (index: number) =>
    (await system.callApplication(node(index), uniqueId()))._unsafeUnwrap();

  it('that was accepted is in force on every node', async () => {
    const accepted = (await drain(A, true))._unsafeUnwrap().metadata.resourceVersion;
    for (const index of [A, B, C]) {
      await until('it is in force', async () => (await status(index)).configRevision >= accepted);
      expect((await call(index)).json.code).to.equal('no-backend');
    }
  });

  it('is never acted on in an old form by a node that was paused', async () => {
    node(C).process.child.kill('SIGSTOP');
    (await drain(A, true))._unsafeUnwrap();
    await until('the paused node is taken for dead', async () => {
      const members = (await system.operator(node(A)).status())._unsafeUnwrap().members;
      return members.find((member) => member.id === node(C).id)?.state === 'dead';
    });
    const calls = Array.from({ length: 10 }, () => call(C));
    node(C).process.child.kill('SIGCONT');
    for (const answer of await Promise.all(calls)) {
      expect(answer.status).not.to.equal(200);
      expect(answer.json.executed).to.equal('no');
    }
  });

  it('committed from the small side of a cut is not called accepted, and comes into force when the cut is mended', async () => {
    system.isolate(node(A));
    for (const index of [B, C]) node(index).platformProxy.set('cut');
    await until('the large side confirms itself without the table', async () => {
      const sides = await Promise.all([status(B), status(C)]);
      return sides.every((one) => one.configurationFresh);
    });
    const committed = await drain(A, true);
    expect(committed._unsafeUnwrapErr().detail).to.include({ code: 'not-accepted-yet', executed: 'unknown' });
    expect((await call(B)).status).to.equal(200);
    system.reconnect();
    for (const index of [B, C]) {
      await until('it is in force', async () => (await call(index)).json.code === 'no-backend');
    }
  });

  it('is not confirmed by newcomers that joined one side of a cut and that the other side has never heard of', async () => {
    system.isolate(node(C));
    await until('the cut-off node has noticed', async () => {
      const { members } = (await system.operator(node(C)).status())._unsafeUnwrap();
      return members.filter((member) => member.state === 'alive').length === 1;
    });
    const strangers = [node(C).host, ...system.nextHosts(2)];
    for (const one of [node(A), node(B)]) one.peerProxy.blockSources(strangers);
    const newcomers = await system.addNodes(['node-3', 'node-4']);
    system.separate([node(A), node(B)], [node(C), ...newcomers]);
    for (const one of [node(C), ...newcomers]) {
      await until('the newcomers have joined', async () => {
        const { members, node: own } = (await system.operator(one).status())._unsafeUnwrap();
        return own.configurationFresh && members.filter((member) => member.state === 'alive').length === 3;
      });
    }
    for (const one of [node(C), ...newcomers]) one.platformProxy.set('cut');
    (await drain(A, true))._unsafeUnwrap();
    for (const one of [node(C), ...newcomers]) {
      const isServing = async () =>
        (await system.callApplication(one, uniqueId()))._unsafeUnwrap().status === 200;
      await until('the small side refuses', async () => !(await isServing()));
      for (let count = 0; count < CALLS_AFTER_REFUSAL; count += 1) {
        expect(await isServing(), `${one.id} acts on the old revision again`).to.equal(false);
        await sleep(50);
      }
    }
  });

  it('keeps a cut-off node without the table from taking work, and it says that nothing was run', async () => {
    system.isolate(node(C));
    node(C).platformProxy.set('cut');
    const refusal = await until('the node refuses', async () => {
      const answer = await call(C);
      return answer.status === 503 ? answer : undefined;
    });
    expect(refusal.json).to.include({ code: 'configuration-not-fresh', executed: 'no' });
    (await drain(A, true))._unsafeUnwrap();
    system.reconnect();
    node(C).platformProxy.set('pass');
    await until('the node is confirmed again', async () => (await status(C)).configurationFresh);
    expect((await call(C)).json.code).to.equal('no-backend');
  });

  it('stays in force on the majority while the table is down, also on a node that is started then', async () => {
    const accepted = (await drain(A, true))._unsafeUnwrap().metadata.resourceVersion;
    await killProcess(node(C).process);
    await system.control(system.platformAddress, '/control/table/faults', { down: true });
    await system.restartNode(node(C));
    await until('the restarted node has loaded it from a majority', async () => {
      const one = await status(C);
      return one.configurationFresh && one.configRevision >= accepted;
    });
    expect((await call(C)).json.code).to.equal('no-backend');
    expect((await call(A)).json.code).to.equal('no-backend');
  });

  it('is committed once although answers of the table are lost, and a repeat of the operation tells its revision', async () => {
    await system.control(system.platformAddress, '/control/table/faults', { loseAnswers: 6 });
    const operationId = uniqueId();
    const manifest = {
      apiVersion: 'thymecove/v1',
      kind: 'Service',
      metadata: { name: 'settled' },
      spec: { type: 'application', repeatable: true },
    };
    const changeset = { operationId, changes: [{ action: 'put' as const, manifest }] };
    const revision = await until('the operation is settled', async () => {
      const answer = await system.operator(node(A)).commit(changeset);
      return answer.isOk() ? answer.value.revision : undefined;
    });
    const repeated = (await system.operator(node(B)).commit(changeset))._unsafeUnwrap();
    expect(repeated.revision).to.equal(revision);
    const stored = (await system.operator(node(A)).get('Service', 'settled'))._unsafeUnwrap();
    expect(stored.metadata).to.include({ resourceVersion: revision, generation: 1 });
  });

  it('never goes back on any node while nodes are killed and started again', async () => {
    const highest = new Map<string, number>();
    let isDone = false;
    const observing = (async () => {
      while (!isDone) {
        for (const one of system.nodes) {
          const answer = await system.operator(one).status();
          if (answer.isErr() || !answer.value.node.configurationFresh) continue;
          const { configRevision } = answer.value.node;
          expect(configRevision).to.be.at.least(highest.get(one.id) ?? 0);
          highest.set(one.id, configRevision);
        }
      }
    })();
    for (let round = 0; round < 4; round += 1) {
      const victim = node(round % 3);
      await killProcess(victim.process);
      const other = node((round + 1) % 3);
      const changed = await system
        .operator(other)
        .patch('Backend', 'app-0', { metadata: { labels: { round: `r${round}` } } });
      expect(changed.isOk()).to.equal(true);
      await system.restartNode(victim);
      await until('the restarted node is confirmed', async () => {
        const one = await system.operator(victim).status();
        return one.isOk() && one.value.node.configurationFresh;
      });
    }
    isDone = true;
    await observing;
    const final = Math.max(...highest.values());
    for (const index of [A, B, C])
      await until('all agree', async () => (await status(index)).configRevision >= final);
  });
});
