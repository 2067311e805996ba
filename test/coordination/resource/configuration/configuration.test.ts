/** Guards against nodes that act on an outdated configuration. */
import { expect } from 'chai';
import { EMULATOR_APPLICATION } from '../../../../emulator/declarations.js';
import { sleep } from '../../../../src/common/clock.js';
import { uniqueId } from '../../../../src/common/identifier.js';
import { killProcess } from '../../../support/processes.js';
import { type SystemNode, TestSystem } from '../../../support/system.js';
import { until } from '../../../support/wait.js';

/** Calls that a node must keep rejecting after the first rejection. */
const CALLS_AFTER_REJECTION = 40;

describe('configuration', () => {
  let system: TestSystem;

  beforeEach(async () => {
    system = new TestSystem({ nodes: 3, applications: 1 });
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

  it('puts an accepted revision in force on every node', async () => {
    const accepted = (await drain(A, true))._unsafeUnwrap().metadata.resourceVersion;
    for (const index of [A, B, C]) {
      await until('it is in force', async () => (await status(index)).configRevision >= accepted);
      expect((await call(index)).json.code).to.equal('no-backend');
    }
  });

  it('rejects requests as not run on a resumed node that missed a revision while it was paused', async () => {
    node(C).process.child.kill('SIGSTOP');
    (await drain(A, true))._unsafeUnwrap();
    await until('the paused node is listed as dead', async () => {
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

  it('accepts a change on an isolated node; nodes without the store stop serving until they have the new revision', async () => {
    system.isolate(node(A));
    for (const index of [B, C]) node(index).platformProxy.set('cut');
    (await drain(A, true))._unsafeUnwrap();
    expect((await call(A)).json.code).to.equal('no-backend');
    for (const index of [B, C]) {
      await until('the node rejects the call', async () => (await call(index)).status === 503);
      for (let count = 0; count < CALLS_AFTER_REJECTION; count += 1) {
        expect((await call(index)).status, `node ${index} uses the outdated revision again`).to.equal(503);
        await sleep(50);
      }
      node(index).platformProxy.set('pass');
      await until('it is in force', async () => (await call(index)).json.code === 'no-backend');
    }
  });

  it('stops serving in a partition without the store, even if new nodes make it the majority', async () => {
    const newcomers = await system.addNodes(['node-3', 'node-4']);
    const small = [node(C), ...newcomers];
    for (const one of small) {
      await until('the new nodes have joined', async () => {
        const { members, node: own } = (await system.operator(one).status())._unsafeUnwrap();
        return own.configurationFresh && members.filter((member) => member.state === 'alive').length === 5;
      });
    }
    system.separate([node(A), node(B)], small);
    for (const one of small) one.platformProxy.set('cut');
    (await drain(A, true))._unsafeUnwrap();
    for (const one of small) {
      const isServing = async () =>
        (await system.callApplication(one, uniqueId()))._unsafeUnwrap().status === 200;
      await until('the partitioned node rejects the call', async () => !(await isServing()));
      for (let count = 0; count < CALLS_AFTER_REJECTION; count += 1) {
        expect(await isServing(), `${one.id} uses the outdated revision again`).to.equal(false);
        await sleep(50);
      }
    }
  });

  it('rejects requests as not run on a partitioned node, and applies the new revision once it is reconnected', async () => {
    system.isolate(node(C));
    node(C).platformProxy.set('cut');
    const refusal = await until('the node rejects the call', async () => {
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

  it('keeps a revision in force during a store outage for services that allow it, but not on a node started then', async () => {
    const accepted = (await drain(A, true))._unsafeUnwrap().metadata.resourceVersion;
    for (const index of [A, B])
      await until('it is in force', async () => (await status(index)).configRevision >= accepted);
    const allowed = await system
      .operator(node(A))
      .patch('Service', EMULATOR_APPLICATION, { spec: { onStaleConfiguration: 'serve' } });
    const revision = allowed._unsafeUnwrap().metadata.resourceVersion;
    for (const index of [A, B])
      await until('it is in force', async () => (await status(index)).configRevision >= revision);
    await killProcess(node(C).process);
    await system.control(system.platformAddress, '/control/table/faults', { down: true });
    await system.restartNode(node(C));
    for (const index of [A, B]) {
      await until('the freshness lease has expired', async () => !(await status(index)).configurationFresh);
      expect((await call(index)).json.code).to.equal('no-backend');
    }
    const refusal = await call(C);
    expect(refusal.status).to.equal(503);
    expect(refusal.json.executed).to.equal('no');
    await system.control(system.platformAddress, '/control/table/faults', {});
    await until(
      'the restarted node has loaded the configuration',
      async () => (await status(C)).configRevision >= revision,
    );
    expect((await call(C)).json.code).to.equal('no-backend');
  });

  it('commits a change once when store responses are lost, and returns the same revision to a retry', async () => {
    await system.control(system.platformAddress, '/control/table/faults', { loseAnswers: 6 });
    const operationId = uniqueId();
    const manifest = {
      apiVersion: 'thymecove/v1',
      kind: 'Service',
      metadata: { name: 'settled' },
      spec: { type: 'application', repeatable: true },
    };
    const changeset = { operationId, changes: [{ action: 'put' as const, manifest }] };
    const revision = await until('the operation is committed', async () => {
      const answer = await system.operator(node(A)).commit(changeset);
      return answer.isOk() ? answer.value.revision : undefined;
    });
    const repeated = (await system.operator(node(B)).commit(changeset))._unsafeUnwrap();
    expect(repeated.revision).to.equal(revision);
    const stored = (await system.operator(node(A)).get('Service', 'settled'))._unsafeUnwrap();
    expect(stored.metadata).to.include({ resourceVersion: revision, generation: 1 });
  });

  it('never reverts a node to an earlier revision while nodes are killed and restarted', async () => {
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
      await until(
        'all nodes have the final revision',
        async () => (await status(index)).configRevision >= final,
      );
  });
});
