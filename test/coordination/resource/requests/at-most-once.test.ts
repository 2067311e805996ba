/** Guards against non-repeatable requests that run twice, and against wrong reports that a request did not run. */
import { expect } from 'chai';
import { uniqueId } from '../../../../src/common/identifier.js';
import { type SystemBackend, type SystemNode, TestSystem } from '../../../support/system.js';
import { until } from '../../../support/wait.js';

describe('non-repeatable requests', () => {
  const system = new TestSystem({ nodes: 2, applications: 2 });
  let first: SystemNode;
  let second: SystemNode;

  before(async () => {
    await system.start();
    [first, second] = system.nodes as [SystemNode, SystemNode];
  });
  after(() => system.stop());
  afterEach(async () => {
    for (const backend of system.applications) {
      backend.proxy.set('pass');
      await system.control(backend.direct, '/control/faults', {});
    }
    for (const node of system.nodes) node.platformProxy.set('pass');
    await system.control(system.platformAddress, '/control/table/faults', {});
    await until(
      'the back ends respond again',
      async () => (await system.callApplication(first, uniqueId()))._unsafeUnwrap().status === 200,
    );
  });

  it('does not retry a request whose response was lost, and reports outcome-unknown to the caller', async () => {
    for (const backend of system.applications)
      await system.control(backend.direct, '/control/faults', { loseAnswers: 1 });
    const workId = uniqueId();
    const answer = (await system.callApplication(first, workId))._unsafeUnwrap();
    expect(answer.status).to.equal(502);
    expect(answer.json.code).to.equal('outcome-unknown');
    expect(answer.json.executed).to.equal('unknown');
    expect((await system.runs())[workId]).to.equal(1);
  });

  it('retries a request on another back end when the first one did not admit it', async () => {
    const [refusing] = system.applications as [SystemBackend];
    await system.control(refusing.direct, '/control/faults', { refuse: true });
    for (let count = 0; count < 8; count += 1) {
      const workId = uniqueId();
      expect((await system.callApplication(first, workId))._unsafeUnwrap().status).to.equal(200);
      expect((await system.runs())[workId]).to.equal(1);
    }
  });

  it('reports executed: no for a request that no back end admitted, and does not run it', async () => {
    for (const backend of system.applications)
      await system.control(backend.direct, '/control/faults', { refuse: true });
    const workId = uniqueId();
    const answer = (await system.callApplication(first, workId))._unsafeUnwrap();
    expect(answer.json.executed).to.equal('no');
    expect(Number(answer.headers['retry-after'])).to.be.greaterThan(0);
    expect((await system.runs())[workId]).to.equal(undefined);
  });

  it('runs a request once per Idempotency-Key on any node, and returns the recorded response to a retry', async () => {
    const workId = uniqueId();
    const key = { 'idempotency-key': workId };
    const answer = (await system.callApplication(first, workId, key))._unsafeUnwrap();
    expect(answer.status).to.equal(200);
    const repeated = await until('the response is recorded', async () => {
      const again = (await system.callApplication(second, workId, key))._unsafeUnwrap();
      return again.status === 200 ? again : undefined;
    });
    expect(repeated.json).to.deep.equal(answer.json);
    expect((await system.runs())[workId]).to.equal(1);
  });

  it('runs a request once per Idempotency-Key when the response was lost, and reports outcome-unknown to a retry', async () => {
    for (const backend of system.applications)
      await system.control(backend.direct, '/control/faults', { loseAnswers: 1 });
    const workId = uniqueId();
    const key = { 'idempotency-key': workId };
    const answer = (await system.callApplication(first, workId, key))._unsafeUnwrap();
    expect(answer.json.executed).to.equal('unknown');
    const repeated = await until('the outcome is recorded', async () => {
      const again = (await system.callApplication(second, workId, key))._unsafeUnwrap();
      return again.json.code === 'outcome-unknown' ? again : undefined;
    });
    expect(repeated.json.executed).to.equal('unknown');
    expect((await system.runs())[workId]).to.equal(1);
  });

  it('runs a request once when concurrent retries with one Idempotency-Key arrive at both nodes', async () => {
    const workId = uniqueId();
    const key = { 'idempotency-key': workId };
    const calls = Array.from({ length: 12 }, (_, index) =>
      system.callApplication(index % 2 === 0 ? first : second, workId, key),
    );
    const answers = (await Promise.all(calls)).map((answer) => answer._unsafeUnwrap());
    expect(answers.some((answer) => answer.status === 200)).to.equal(true);
    expect((await system.runs())[workId]).to.equal(1);
  });

  it('runs a request once per Idempotency-Key when store responses are lost', async () => {
    await system.control(system.platformAddress, '/control/table/faults', { loseAnswers: 3 });
    const workId = uniqueId();
    const key = { 'idempotency-key': workId };
    await until('the request succeeds', async () => {
      const answer = (await system.callApplication(first, workId, key))._unsafeUnwrap();
      return answer.status === 200;
    });
    expect((await system.runs())[workId]).to.equal(1);
  });

  it('rejects a request with an Idempotency-Key while the store is unreachable, and runs one without a key', async () => {
    first.platformProxy.set('cut');
    const keyed = uniqueId();
    const answer = (await system.callApplication(first, keyed, { 'idempotency-key': keyed }))._unsafeUnwrap();
    expect(answer.json.executed).to.equal('no');
    expect(answer.json.code).to.be.oneOf(['platform-unavailable', 'configuration-not-fresh']);
    expect((await system.runs())[keyed]).to.equal(undefined);
    const unkeyed = uniqueId();
    await until('a request without a key succeeds', async () => {
      const sent = (await system.callApplication(first, unkeyed))._unsafeUnwrap();
      return sent.status === 200;
    });
    expect((await system.runs())[unkeyed]).to.equal(1);
  });

  it('rejects a request with an Idempotency-Key that was used for a different request', async () => {
    const workId = uniqueId();
    await system.callApplication(first, workId, { 'idempotency-key': workId });
    const other = uniqueId();
    const answer = (
      await system.callApplication(second, other, { 'idempotency-key': workId })
    )._unsafeUnwrap();
    expect(answer.status).to.equal(400);
    expect((await system.runs())[other]).to.equal(undefined);
  });
});
