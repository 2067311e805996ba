/** Guards against new requests to draining back ends, and against aborted requests at a graceful shutdown. */
import { once } from 'node:events';
import { expect } from 'chai';
import { EMULATOR_TOKENS } from '../../../../emulator/cluster.js';
import { EMULATOR_MODEL, EMULATOR_TRAINER } from '../../../../emulator/declarations.js';
import { uniqueId } from '../../../../src/common/identifier.js';
import { EngineClient } from '../../../../src/protocol/resource/engine.js';
import { type SystemBackend, type SystemNode, TestSystem } from '../../../support/system.js';
import { until } from '../../../support/wait.js';

const CALLS = 20;

describe('draining back ends', () => {
  const system = new TestSystem({ nodes: 3, engines: 2, applications: 2 });
  let node: SystemNode;

  before(async () => {
    await system.start();
    [node] = system.nodes as [SystemNode];
  });
  after(() => system.stop());

  /** Names of the back ends that answered `CALLS` requests sent to a node. */
  async function answeredBy(through: SystemNode): Promise<Set<unknown>> {
    const names = new Set<unknown>();
    for (let count = 0; count < CALLS; count += 1) {
      const answer = (await system.callApplication(through, uniqueId()))._unsafeUnwrap();
      if (answer.status === 200) names.add(answer.json.backend);
    }
    return names;
  }

  it('sends no new requests to a back end once its drain is in force, and explains the reason', async () => {
    const operator = system.operator(node);
    (
      await operator.patch('Backend', 'app-0', { spec: { draining: true, drainReason: 'disk swap' } })
    )._unsafeUnwrap();
    for (const one of system.nodes)
      await until('the drain is in force', async () => !(await answeredBy(one)).has('app-0'));
    const explained = (
      await system.operator(system.nodes[2] as SystemNode).explain('backend/app-0')
    )._unsafeUnwrap();
    expect(explained.summary).to.contain('disk swap');
    (
      await operator.patch('Backend', 'app-0', { spec: { draining: null, drainReason: null } })
    )._unsafeUnwrap();
    await until('it is in use again', async () => (await answeredBy(node)).has('app-0'));
  });

  it('sends no new requests to a back end once its machine is listed as leaving', async () => {
    const machine = { name: 'm-app-1', zone: 'zone-a', state: 'leaving' };
    await system.control(system.platformAddress, '/control/machines', machine);
    for (const one of system.nodes)
      await until('the back end receives no requests', async () => !(await answeredBy(one)).has('app-1'));
    await system.control(system.platformAddress, '/control/machines', { ...machine, state: 'live' });
    await until('it is in use again', async () => (await answeredBy(node)).has('app-1'));
  });

  it('makes a draining engine reject new requests itself', async () => {
    (await system.operator(node).patch('Backend', 'engine-0', { spec: { draining: true } }))._unsafeUnwrap();
    const engines = new EngineClient(system.client);
    const [engine] = system.engines as [SystemBackend];
    await until(
      'the engine drains',
      async () => (await engines.state(engine.direct))._unsafeUnwrap().role === 'draining',
    );
    const direct = await engines.generate(
      engine.direct,
      { request_id: 'x', model: EMULATOR_MODEL, prompt: 'x', max_tokens: 5, priority: 5, seed: 1 },
      new AbortController().signal,
    );
    expect(direct._unsafeUnwrapErr().effect).to.equal('none');
    (await system.operator(node).patch('Backend', 'engine-0', { spec: { draining: null } }))._unsafeUnwrap();
  });

  it('sends no requests to a draining back end from a node that was paused while the drain took effect', async () => {
    const paused = system.nodes[1] as SystemNode;
    expect((await answeredBy(paused)).has('app-0')).to.equal(true);
    paused.process.child.kill('SIGSTOP');
    (await system.operator(node).patch('Backend', 'app-0', { spec: { draining: true } }))._unsafeUnwrap();
    await until('the paused node is listed as dead', async () => {
      const status = (await system.operator(node).status())._unsafeUnwrap();
      return status.members.find((member) => member.id === paused.id)?.state === 'dead';
    });
    const before = Object.keys(await system.runs()).length;
    // The requests are buffered in the socket of the paused node and handled as soon as it resumes.
    const calls = Array.from({ length: CALLS }, () => system.callApplication(paused, uniqueId()));
    paused.process.child.kill('SIGCONT');
    const answers = (await Promise.all(calls)).map((answer) => answer._unsafeUnwrap());
    for (const answer of answers) {
      if (answer.status === 200) expect(answer.json.backend).not.to.equal('app-0');
      else expect(answer.json.executed).to.equal('no');
    }
    expect(Object.keys(await system.runs()).length - before).to.equal(
      answers.filter((answer) => answer.status === 200).length,
    );
    (await system.operator(node).patch('Backend', 'app-0', { spec: { draining: null } }))._unsafeUnwrap();
  });
});

describe('graceful shutdown', () => {
  const system = new TestSystem({ nodes: 2, engines: 2, applications: 1, stepMs: 10, medianTokens: 100_000 });
  let node: SystemNode;

  before(async () => {
    await system.start();
    [node] = system.nodes as [SystemNode];
    await system.untilEnginesServe(node);
  });
  after(() => system.stop());

  it('completes a long stream, rejects new requests as not run, exits with code 0 and leaves its shard to another node', async () => {
    const sent = await system.client.send({
      method: 'POST',
      url: `${node.address}/v1/completions`,
      headers: { authorization: `Bearer ${EMULATOR_TOKENS.caller}` },
      body: JSON.stringify({ model: EMULATOR_MODEL, prompt: 'x', max_tokens: 300, stream: true, seed: 1 }),
    });
    const { body } = sent._unsafeUnwrap();
    const exited = once(node.process.child, 'exit');
    let text = '';
    let refusal: Promise<unknown> | undefined;
    for await (const chunk of body) {
      text += chunk.toString('utf8');
      if (refusal) continue;
      node.process.child.kill('SIGTERM');
      refusal = until('the node rejects new requests', async () => {
        const answer = (await system.callApplication(node, uniqueId()))._unsafeUnwrap();
        return answer.json.code === 'leaving' ? answer.json : undefined;
      });
    }
    expect(text.endsWith('data: [DONE]\n\n')).to.equal(true);
    expect(await refusal).to.include({ executed: 'no' });
    expect((await exited)[0]).to.equal(0);
    const other = system.nodes[1] as SystemNode;
    await until('the other node owns the shard', async () => {
      const status = (await system.operator(other).status())._unsafeUnwrap();
      return status.node.duties.includes(`rollouts/${EMULATOR_TRAINER}/0`);
    });
  });
});
