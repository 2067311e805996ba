/** Deadlines, disconnects, concurrency limits, and decision records of caller requests. */
import { expect } from 'chai';
import { EMULATOR_TOKENS } from '../../../../emulator/cluster.js';
import { EMULATOR_APPLICATION, EMULATOR_MODEL, EMULATOR_TRAINER } from '../../../../emulator/declarations.js';
import { PlatformStoreClient } from '../../../../platform/store-client.js';
import { parseRequestId, uniqueId } from '../../../../src/common/identifier.js';
import { Metrics } from '../../../../src/common/metrics.js';
import { EngineClient } from '../../../../src/protocol/resource/engine.js';
import { findFlushedDecisions } from '../../../../src/state/resource/decision-log.js';
import { StoredObjects } from '../../../../src/state/resource/tables/stored-objects.js';
import { killProcess } from '../../../support/processes.js';
import { type SystemBackend, type SystemNode, TestSystem } from '../../../support/system.js';
import { until } from '../../../support/wait.js';

const LIMIT = 3;

describe('caller requests', () => {
  const system = new TestSystem({
    nodes: 2,
    engines: 1,
    applications: 1,
    stepMs: 10,
    medianTokens: 100_000,
    specs: { [`Service/${EMULATOR_APPLICATION}`]: { limits: { maxInFlightPerCaller: LIMIT } } },
  });
  let first: SystemNode;
  let second: SystemNode;
  let application: SystemBackend;
  let engine: SystemBackend;

  before(async () => {
    await system.start();
    [first, second] = system.nodes as [SystemNode, SystemNode];
    [application] = system.applications as [SystemBackend];
    [engine] = system.engines as [SystemBackend];
    await system.untilEnginesServe(first);
  });
  after(() => system.stop());
  afterEach(() => system.control(application.direct, '/control/faults', {}));

  const setWork = (workMs: number) => system.control(application.direct, '/control/faults', { workMs });
  const authorization = `Bearer ${EMULATOR_TOKENS.caller}`;

  it('reports an unknown outcome when the deadline passes while the request runs', async () => {
    await setWork(60_000);
    const answer = (
      await system.callApplication(first, uniqueId(), { 'x-request-timeout-ms': '300' })
    )._unsafeUnwrap();
    expect(answer.status).to.equal(504);
    expect(answer.json).to.include({ code: 'deadline-passed', executed: 'unknown' });
  });

  it('names the field in the error when the deadline is not a number', async () => {
    const answer = (
      await system.callApplication(first, uniqueId(), { 'x-request-timeout-ms': 'soon' })
    )._unsafeUnwrap();
    expect(answer.json).to.include({ code: 'invalid-request', executed: 'no' });
    expect(JSON.stringify(answer.json.fields)).to.contain('x-request-timeout-ms');
  });

  it('cancels the generation when the caller disconnects', async () => {
    const engines = new EngineClient(system.client);
    const running = async () => (await engines.state(engine.direct))._unsafeUnwrap().running;
    const leave = new AbortController();
    const sent = await system.client.send({
      method: 'POST',
      url: `${first.address}/v1/completions`,
      headers: { authorization },
      body: JSON.stringify({ model: EMULATOR_MODEL, prompt: 'x', max_tokens: 100_000, stream: true }),
      signal: leave.signal,
    });
    const { body } = sent._unsafeUnwrap();
    body.on('error', () => {});
    body.resume();
    await until('the engine is generating', async () => (await running()) === 1);
    leave.abort();
    await until('the engine has stopped', async () => (await running()) === 0);
  });

  it('rejects requests above the concurrency limit of a caller with Retry-After, and completes those within it', async () => {
    await setWork(1_500);
    const answers = await Promise.all(
      Array.from({ length: LIMIT + 2 }, () => system.callApplication(first, uniqueId())),
    );
    const statuses = answers.map((answer) => answer._unsafeUnwrap().status).sort();
    expect(statuses).to.deep.equal([200, 200, 200, 429, 429]);
    const refused = answers.map((answer) => answer._unsafeUnwrap()).find((answer) => answer.status === 429);
    expect(refused?.json).to.include({ code: 'overloaded', executed: 'no' });
    expect(Number(refused?.headers['retry-after'])).to.be.at.least(1);
  });

  it('explains a rejection on another node, even after the rejecting node was killed', async () => {
    (
      await system.operator(first).patch('Backend', application.name, { spec: { draining: true } })
    )._unsafeUnwrap();
    const refusal = await until('the call is rejected', async () => {
      const answer = (await system.callApplication(first, uniqueId()))._unsafeUnwrap();
      return answer.status === 503 ? answer.json : undefined;
    });
    const explain = async () => {
      const answer = await system.operator(second).explain(refusal.requestId as string);
      return answer.isOk() ? JSON.stringify(answer.value.decisions) : undefined;
    };
    expect(await explain()).to.contain('"reason":"draining"');
    const limits = { recordBytes: 65_536, objectBytes: 8_388_608 };
    const store = new PlatformStoreClient(system.client, new URL(system.platformAddress).host, limits, 2_000);
    const objects = new StoredObjects(store, new Metrics(false), 100);
    const { nodeId, issuedAtMs } = parseRequestId(refusal.requestId as string) ?? {
      nodeId: '',
      issuedAtMs: 0,
    };
    await until('the decision was flushed', async () => {
      const found = await findFlushedDecisions(objects, nodeId, refusal.requestId as string, issuedAtMs);
      return found.length > 0;
    });
    await killProcess(first.process);
    expect(await until('the flushed decision is found', explain)).to.contain('"reason":"draining"');
  });

  it('forbids a trainer to read decisions about samples of another trainer, but not about its own', async () => {
    const explain = (subject: string) =>
      system.client.exchange({
        method: 'GET',
        url: `${second.address}/v1/explain/${encodeURIComponent(subject)}`,
        headers: { authorization: `Bearer ${EMULATOR_TOKENS.trainer}` },
      });
    expect((await explain(`${EMULATOR_TRAINER}:r:0:0`))._unsafeUnwrap().status).to.equal(404);
    expect((await explain('other-trainer:r:0:0'))._unsafeUnwrap().status).to.equal(403);
  });
});
