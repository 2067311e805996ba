/** Requests through a serving node: routing, complete responses, retries, rejections, limits and shutdown. */
import { spawnSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { expect } from 'chai';
import { HEADER, SETTINGS_VARIABLE } from '../../../../platform/names.js';
import {
  APPLICATION_SERVICE,
  HOST,
  JOB_PATH,
  kill,
  LOOKUP_PATH,
  MODEL,
  PROGRAM,
  type ServiceNodeProcess,
  ServiceSystem,
  usualConfiguration,
} from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

describe('service node', () => {
  let system: ServiceSystem;
  let node: ServiceNodeProcess;

  beforeEach(async () => {
    system = await ServiceSystem.start();
  });

  afterEach(() => system.stop());

  async function startNode(): Promise<void> {
    node = await system.addNode('node-1');
    await system.untilReady(node);
  }

  /** The log line of a request that was rejected before it ran. */
  const rejectionOf = ({ log }: ServiceNodeProcess, requestId: string) =>
    log.find(({ context }) => context.requestId === requestId && context.waitedMs !== undefined)?.context;

  it('relays the whole response, with its status and signature', async () => {
    const replica = await system.addApplication();
    await startNode();
    const answer = await system.lookup(node, 'request-1', { 'x-own': 'kept' });
    expect(answer?.status).to.equal(200);
    expect(answer?.headers[HEADER.signature]).to.equal('signed-request-1');
    expect(answer?.body.toString()).to.equal('answer to request-1');
    expect(replica.received[0]?.deadlineMs).to.be.within(1, 2_000);
  });

  it('answers 503 with Retry-After while no configuration is known, and 404 only after', async () => {
    system.store.mode = 'silent';
    node = await system.addNode('node-1');
    const early = await system.lookup(node, 'request-1', {}, '/unknown/x');
    expect(early?.status).to.equal(503);
    expect(Number(early?.headers['retry-after'])).to.be.greaterThan(0);
    expect(await system.status(node.readyUrl)).to.equal(503);
    system.store.mode = 'answering';
    await system.addApplication();
    await system.untilReady(node);
    expect((await system.lookup(node, 'request-2', {}, '/unknown/x'))?.status).to.equal(404);
  });

  it('matches responses to their requests, also after a surplus response', async () => {
    const replica = await system.addApplication();
    await startNode();
    replica.surplusAnswers = 1;
    for (const id of ['request-1', 'request-2', 'request-3']) {
      const answer = await system.lookup(node, id);
      expect(answer?.status, id).to.equal(200);
      expect(answer?.body.toString(), id).to.equal(`answer to ${id}`);
    }
  });

  it('never relays a response without a length that was truncated by a connection reset', async () => {
    const replica = await system.addApplication();
    await startNode();
    replica.unframedCuts = 2;
    for (const id of ['request-1', 'request-2', 'request-3']) {
      const answer = await system.lookup(node, id);
      if (answer?.status === 200) expect(answer.body.toString(), id).to.equal(`answer to ${id}`);
    }
    expect(replica.unframedCuts).to.equal(0);
  });

  it('relays a response delimited by connection close without a length, since it may be truncated', async () => {
    const replica = await system.addApplication();
    await startNode();
    replica.unframedCuts = 1;
    replica.cutsByReset = false;
    const answer = await system.lookup(node, 'request-1');
    expect(answer?.status).to.equal(200);
    expect(answer?.headers['content-length']).to.equal(undefined);
    expect(answer?.headers['transfer-encoding']).to.equal(undefined);
    expect(answer?.headers.connection).to.equal('close');
  });

  it('sends a hedge while the first replica does not respond', async () => {
    const [first, second] = [await system.addApplication(), await system.addApplication()];
    await startNode();
    first.isSilent = true;
    for (const id of ['request-1', 'request-2', 'request-3', 'request-4'])
      expect((await system.lookup(node, id))?.status, id).to.equal(200);
    expect(second.received.length).to.be.at.least(4);
  });

  it('never runs a request on more replicas than the route allows', async () => {
    const replicas = await Promise.all([1, 2, 3, 4].map(() => system.addApplication()));
    for (const replica of replicas) replica.failWith = 500;
    await startNode();
    const answer = await system.lookup(node, 'request-1');
    expect(answer?.status).to.equal(500);
    expect(answer?.headers[HEADER.signature]).to.equal('failure');
    expect(replicas.reduce((sum, replica) => sum + replica.received.length, 0)).to.equal(3);
  });

  it('neither retries an unsafe request nor reports that it did not run', async () => {
    system.configure(usualConfiguration(2, { lookup: { kind: 'unsafe' } }));
    const replicas = [await system.addApplication(), await system.addApplication()];
    for (const replica of replicas) replica.isSilent = true;
    await startNode();
    const answer = await system.lookup(node, 'request-1', { [HEADER.deadlineMs]: '600' });
    expect(answer?.status).to.be.oneOf([502, 504]);
    expect(replicas.reduce((sum, replica) => sum + replica.received.length, 0)).to.be.at.most(1);
  });

  it('answers 504 at the timeout of the route', async () => {
    system.configure(usualConfiguration(2, { lookup: { timeoutMs: 500 } }));
    const replica = await system.addApplication();
    replica.isSilent = true;
    await startNode();
    const startedAt = performance.now();
    const answer = await system.lookup(node, 'request-1', { [HEADER.deadlineMs]: '9000' });
    expect(answer?.status).to.equal(504);
    expect(performance.now() - startedAt).to.be.lessThan(2_000);
  });

  it('reuses the connection to a replica that ends the request itself at the deadline', async () => {
    system.configure(usualConfiguration(2, { lookup: { timeoutMs: 500 } }));
    const replica = await system.addApplication({ workMs: 60_000 });
    await startNode();
    const late = await system.lookup(node, 'request-1', { [HEADER.deadlineMs]: '9000' });
    expect(late?.status).to.equal(504);
    await until('the replica has stopped', () => replica.running === 0);
    replica.workMs = 1;
    expect((await system.lookup(node, 'request-2'))?.status).to.equal(200);
    expect(replica.openedConnections).to.equal(1);
  });

  it('rejects at once, with Retry-After, when every replica is full', async () => {
    await system.addApplication({ slots: 1, workMs: 3_000 });
    await startNode();
    const running = system.lookup(node, 'request-1');
    await until('the replica works', () => system.replicas[0]?.running === 1);
    const sentAtMs = performance.now();
    const refused = await system.lookup(node, 'request-2');
    expect(refused?.status).to.equal(503);
    expect(Number(refused?.headers['retry-after'])).to.be.greaterThan(0);
    expect(performance.now() - sentAtMs, 'rejected before the timeout').to.be.lessThan(1_900);
    const alsoRefused = await system.lookup(node, 'request-3', { [HEADER.deadlineMs]: '300' });
    expect(alsoRefused?.status, 'waits for longer than the remaining time').to.equal(503);
    await until('the rejections are logged', () => rejectionOf(node, 'request-3') !== undefined);
    expect(Number(rejectionOf(node, 'request-2')?.leftMs)).to.be.greaterThan(500);
    expect(Number(rejectionOf(node, 'request-3')?.waitedMs), 'rejected on arrival').to.be.lessThan(20);
    await running;
    expect(system.replicas[0]?.received.map(({ id }) => id)).to.deep.equal(['request-1']);
  });

  it('does not run a request on a different replica that has taken over the address', async () => {
    const replica = await system.addApplication();
    await startNode();
    replica.id = 'another-replica';
    const answer = await system.lookup(node, 'request-1');
    expect(answer?.status).to.equal(503);
    expect(replica.received).to.have.length(0);
  });

  it('aborts the request at the replica when the caller disconnects', async () => {
    const replica = await system.addApplication({ workMs: 60_000 });
    await startNode();
    const controller = new AbortController();
    const sent = system.http.exchange({
      method: 'POST',
      url: `${node.url}${LOOKUP_PATH}x`,
      headers: { host: 'service.example', [HEADER.requestId]: 'request-1' },
      body: 'question',
      signal: controller.signal,
    });
    await until('the replica works', () => replica.running === 1);
    controller.abort();
    await sent;
    await until('the connection to the replica is closed', () => replica.connectionCount() === 0);
    replica.workMs = 1;
    expect((await system.lookup(node, 'request-2'))?.status).to.equal(200);
    expect(replica.openedConnections, 'one for each request').to.equal(2);
  });

  it('sends no requests to a draining replica', async () => {
    const [leaving, staying] = [await system.addApplication(), await system.addApplication()];
    await startNode();
    leaving.announce('draining');
    await until('the node has noticed', () =>
      node.log.some((record) => record.context.name === leaving.id && record.context.change === 'draining'),
    );
    const before = leaving.received.length;
    for (let index = 0; index < 8; index += 1) await system.lookup(node, `request-${index}`);
    expect(leaving.received.length).to.equal(before);
    expect(staying.received.length).to.be.at.least(8);
  });

  it('applies a newer configuration and ignores an older one', async () => {
    await system.addApplication();
    await startNode();
    system.configure(usualConfiguration(5, { lookup: { pathPrefix: '/moved/' } }));
    await until('the moved route is served', async () => {
      const answer = await system.lookup(node, 'request-1', {}, '/moved/x');
      return answer?.status === 200;
    });
    system.configure(usualConfiguration(4));
    await until('the older configuration is logged', () =>
      node.log.some((record) => record.context.change === 'older than the one in force'),
    );
    expect((await system.lookup(node, 'request-2', {}, '/moved/x'))?.status).to.equal(200);
  });

  it('splits a route by weight', async () => {
    const other = 'application-2';
    const split = [
      { service: APPLICATION_SERVICE, weight: 75 },
      { service: other, weight: 25 },
    ];
    const configuration = usualConfiguration(2, { lookup: { service: undefined, split } });
    system.configure({ ...configuration, services: [...configuration.services, { name: other }] });
    const [first, second] = [await system.addApplication(), await system.addApplication({ service: other })];
    await startNode();
    await until(
      'both are known',
      () => node.log.filter((record) => record.context.subject === 'replica').length === 2,
    );
    for (let index = 0; index < 40; index += 1) await system.lookup(node, `request-${index}`);
    expect(first.received.length).to.be.within(29, 31);
    expect(second.received.length).to.be.within(9, 11);
  });

  it('continues to serve while the store does not respond, and applies changes afterwards', async () => {
    await system.addApplication();
    await startNode();
    system.store.mode = 'silent';
    for (let index = 0; index < 5; index += 1)
      expect((await system.lookup(node, `request-${index}`))?.status).to.equal(200);
    system.store.mode = 'answering';
    system.configure(usualConfiguration(2, { lookup: { pathPrefix: '/moved/' } }));
    await until('the new configuration is applied', async () => {
      return (await system.lookup(node, 'late', {}, '/moved/x'))?.status === 200;
    });
  });

  it('reloads the tables when the store has lost its change history', async () => {
    await system.addApplication();
    await startNode();
    system.store.mode = 'reset';
    system.configure(usualConfiguration(3, { lookup: { pathPrefix: '/moved/' } }));
    system.store.rows.forgetHistory();
    system.store.mode = 'answering';
    await until('the new configuration is applied', async () => {
      return (await system.lookup(node, 'late', {}, '/moved/x'))?.status === 200;
    });
  });

  it('completes running requests after SIGTERM and reports not ready at once', async () => {
    const replica = await system.addApplication({ workMs: 1_500 });
    await startNode();
    const pending = system.lookup(node, 'request-1');
    await until('the replica works', () => replica.running === 1);
    node.child.kill('SIGTERM');
    await until('the node is not ready', async () => (await system.status(node.readyUrl)) !== 200);
    const during = await system.lookup(node, 'request-2');
    expect(during?.status).to.equal(200);
    expect(during?.headers.connection).to.equal('close');
    expect((await pending)?.body.toString()).to.equal('answer to request-1');
    await until('the process has ended', () => node.child.exitCode === 0);
  });

  it('reloads settings on SIGHUP and keeps running if they are invalid', async () => {
    await system.addApplication();
    await startNode();
    node.child.kill('SIGHUP');
    await until('the settings are reloaded', () =>
      node.log.some((record) => record.context.change === 'settings read again'),
    );
    expect((await system.lookup(node, 'request-1'))?.status).to.equal(200);
    const settings = readFileSync(node.settingsFile, 'utf8');
    writeFileSync(node.settingsFile, settings.replace('bounds.leaseMs=1000', 'bounds.leaseMs=2500'));
    node.child.kill('SIGHUP');
    await until('the new settings are applied', () =>
      node.log.some((record) => String(record.context.detail).includes('leaseMs 1000 to 2500')),
    );
    writeFileSync(node.settingsFile, settings.replace('listen.front=', 'listen.wrong='));
    node.child.kill('SIGHUP');
    await until('the invalid settings are rejected', () =>
      node.log.some((record) => String(record.context.detail).includes('listen.front: is missing')),
    );
    expect((await system.lookup(node, 'request-2'))?.status).to.equal(200);
  });

  it('checks a settings file without starting and names the invalid field', async () => {
    await system.addApplication();
    await startNode();
    const check = () =>
      spawnSync(process.execPath, [PROGRAM, '--check-settings'], {
        env: { ...process.env, [SETTINGS_VARIABLE]: node.settingsFile },
        encoding: 'utf8',
      });
    const right = check();
    expect(right.status).to.equal(0);
    expect(right.stdout).to.contain('the settings are right');
    writeFileSync(node.settingsFile, readFileSync(node.settingsFile, 'utf8').replace('node=', 'name='));
    const wrong = check();
    expect(wrong.status).to.equal(2);
    expect(wrong.stderr).to.contain(`${node.settingsFile}: node: is missing`);
  });

  it('names the invalid field in the response to a bad request', async () => {
    await system.addApplication();
    await startNode();
    const missing = await system.lookup(node, '');
    expect(missing?.status).to.equal(400);
    expect(missing?.body.toString()).to.contain(HEADER.requestId);
    const job = await system.lookup(node, 'job-1', {}, '/jobs/job-1');
    expect(job?.status).to.equal(400);
    expect(job?.body.toString()).to.contain('JSON');
    const huge = await system.http.exchange({
      method: 'POST',
      url: `${node.url}${LOOKUP_PATH}x`,
      headers: { host: 'service.example', [HEADER.requestId]: 'request-2' },
      body: Buffer.alloc(2_000_000),
    });
    if (huge.isOk()) expect(huge.value.status).to.equal(413);
    expect((await system.lookup(node, 'request-3'))?.status).to.equal(200);
  });

  it('does not start with invalid settings and names the field', async () => {
    let message = '';
    try {
      await system.addNode('node-1', { 'listen.front': 'nowhere' });
    } catch (cause) {
      message = String(cause);
    }
    expect(message).to.contain('ended with 2');
  });

  it('exports metrics of its items, oldest job and singleton tasks', async () => {
    await system.addEngine({ events: 2_000, workMs: 20 });
    await startNode();
    const trainer = { host: HOST, path: JOB_PATH, model: MODEL, minVersion: 1, groups: 3, groupSize: 2 };
    expect(await system.trainer.submit(node.url, { id: 'job-1', ...trainer })).to.equal(202);
    system.nameVersion(1);
    const metrics = async () => {
      const answer = await system.http.exchange({ method: 'GET', url: node.metricsUrl });
      return answer.isOk() ? answer.value.body.toString() : '';
    };
    await until('the items are counted', async () =>
      /thymecove_items\{state="open"\} 6\n/.test(await metrics()),
    );
    await until('four items run', async () => /thymecove_items\{state="waiting"\} 2\n/.test(await metrics()));
    await until('the task is held', async () => /thymecove_duties_held 1\n/.test(await metrics()));
    expect(Number(/^thymecove_oldest_job_seconds (\S+)/m.exec(await metrics())?.[1])).to.be.greaterThan(0);
  });

  it('serves metrics', async () => {
    await system.addApplication();
    await startNode();
    await system.lookup(node, 'request-1');
    const answer = await system.http.exchange({ method: 'GET', url: node.metricsUrl });
    expect(answer._unsafeUnwrap().body.toString()).to.contain(
      'thymecove_requests_total{route="lookup",outcome="answered"} 1',
    );
  });

  it('serves requests again after the process was killed and restarted', async () => {
    await system.addApplication();
    await startNode();
    await kill(node);
    const next = await system.addNode('node-1');
    await system.untilReady(next);
    expect((await system.lookup(next, 'request-1'))?.status).to.equal(200);
  });
});
