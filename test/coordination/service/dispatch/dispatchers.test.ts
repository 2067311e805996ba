/** Tests of remote dispatch with node processes, including killed, paused and stopped dispatchers. */
import { expect } from 'chai';
import type { ReplicaServer } from '../../../../emulator/replica/replica-server.js';
import { HEADER } from '../../../../platform/names.js';
import { monotonicMs } from '../../../../src/common/clock.js';
import { untilDispatcherIsKnown } from '../../../support/dispatchers.js';
import {
  HOST,
  kill,
  LOOKUP_PATH,
  type ServiceNodeProcess,
  ServiceSystem,
  usualConfiguration,
} from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

/** More nodes than slots per replica, so that the service has a dispatcher. */
const NODES = 5;
const SLOTS = 3;
const WORK_MS = 20;
/** Maximum duration of a repeatable request whose dispatcher is paused, milliseconds. */
const MAX_TAKEOVER_MS = 1_000;

describe('remote dispatch between nodes', () => {
  let system: ServiceSystem;
  let nodes: ServiceNodeProcess[];
  let replicas: ReplicaServer[];
  let dispatcher: ServiceNodeProcess;
  let others: ServiceNodeProcess[];
  let requests = 0;

  beforeEach(async () => {
    system = await ServiceSystem.start();
    replicas = await Promise.all(
      [1, 2, 3].map(() => system.addApplication({ slots: SLOTS, workMs: WORK_MS })),
    );
    nodes = await Promise.all(
      Array.from({ length: NODES }, (_, index) => system.addNode(`node-${index + 1}`)),
    );
    for (const node of nodes) await system.untilReady(node);
    dispatcher = await untilDispatcherIsKnown(system, nodes);
    others = nodes.filter((node) => node !== dispatcher);
  });

  afterEach(() => system.stop());

  const nextId = () => {
    requests += 1;
    return `lookup-${requests}`;
  };

  const lookup = (node: ServiceNodeProcess, id = nextId(), headers = {}) => system.lookup(node, id, headers);
  const receivedAs = (id: string) =>
    replicas.flatMap(({ received }) => received.filter((one) => one.id === id));
  const configure = (fields: object) => system.configure(usualConfiguration(2, { lookup: { ...fields } }));
  const untilConfigured = (version: number) =>
    until(`version ${version} is in force`, () =>
      nodes.every(({ log }) =>
        log.some(({ context }) => context.subject === 'configuration' && context.version === version),
      ),
    );

  it('opens at most one connection per replica, regardless of the receiving node', async () => {
    const before = replicas.reduce((sum, { openedConnections }) => sum + openedConnections, 0);
    for (let round = 0; round < 10; round += 1)
      for (const node of nodes) expect((await lookup(node))?.status).to.equal(200);
    const opened = replicas.reduce((sum, { openedConnections }) => sum + openedConnections, 0) - before;
    expect(opened).to.be.at.most(replicas.length);
  });

  it('serves a burst that fills every slot, and a single dispatcher never exceeds the slots of a replica', async () => {
    const answers = await Promise.all(
      Array.from({ length: 60 }, (_, index) => lookup(nodes[index % NODES] as ServiceNodeProcess)),
    );
    for (const answer of answers) expect(answer?.status, answer?.body.toString()).to.equal(200);
    const declined = replicas.flatMap(({ received }) =>
      received.filter((one) => one.beganAtMs === undefined),
    );
    const wasEjected = nodes.some(({ log }) =>
      log.some(({ context }) => String(context.change).startsWith('ejected: ')),
    );
    expect(declined.length === 0 || wasEjected, `${declined.length} declined at one dispatcher`).to.equal(
      true,
    );
  });

  it('forwards no more than the remaining time of a request', async () => {
    const id = nextId();
    await lookup(others[0] as ServiceNodeProcess, id, { [HEADER.deadlineMs]: '700' });
    expect(receivedAs(id)[0]?.deadlineMs).to.be.within(1, 700);
  });

  it('serves repeatable requests when the dispatcher is killed, including those in flight', async () => {
    for (const replica of replicas) replica.workMs = 300;
    const inFlight = others.map((node) => lookup(node));
    await until('the requests are running', () => replicas.some(({ running }) => running > 0));
    await kill(dispatcher);
    for (const answer of await Promise.all(inFlight))
      expect(answer?.status, answer?.body.toString()).to.equal(200);
    for (const node of others) expect((await lookup(node))?.status).to.equal(200);
  });

  it('runs unrepeatable requests at most once when the dispatcher is killed', async () => {
    configure({ kind: 'unsafe' });
    await untilConfigured(2);
    for (const replica of replicas) replica.workMs = 300;
    const ids = others.map(() => nextId());
    const inFlight = others.map((node, index) => lookup(node, ids[index]));
    await until(
      'the requests are running',
      () => replicas.reduce((sum, { running }) => sum + running, 0) === others.length,
    );
    await kill(dispatcher);
    for (const answer of await Promise.all(inFlight)) expect(answer?.status).to.be.oneOf([502, 504]);
    for (const id of ids) expect(receivedAs(id)).to.have.length(1);
    for (const node of others) expect((await lookup(node))?.status).to.equal(200);
  });

  it('takes over requests within the time limit when the dispatcher is paused', async () => {
    dispatcher.child.kill('SIGSTOP');
    for (const node of others) {
      const startedAt = monotonicMs();
      expect((await lookup(node))?.status).to.equal(200);
      expect(monotonicMs() - startedAt).to.be.lessThan(MAX_TAKEOVER_MS);
      expect((await lookup(node))?.status).to.equal(200);
    }
    dispatcher.child.kill('SIGCONT');
    for (const node of others) expect((await lookup(node))?.status).to.equal(200);
  });

  it('never sends a queued request after its dispatcher was paused past the deadline', async () => {
    for (const replica of replicas) replica.workMs = 1_000;
    configure({ kind: 'unsafe', timeoutMs: 5_000 });
    await untilConfigured(2);
    const filling = Array.from({ length: replicas.length * SLOTS }, () => lookup(dispatcher));
    await until('every slot is taken', () => replicas.every(({ running }) => running === SLOTS));
    const queuedId = nextId();
    const waiting = lookup(others[0] as ServiceNodeProcess, queuedId, { [HEADER.deadlineMs]: '1500' });
    await until('the request is queued at the dispatcher', async () => (await queuedAt(dispatcher)) === 1);
    dispatcher.child.kill('SIGSTOP');
    expect((await waiting)?.status).to.equal(504);
    dispatcher.child.kill('SIGCONT');
    await Promise.all(filling);
    expect(receivedAs(queuedId)).to.have.length(0);
  });

  it('never sends a request that a paused dispatcher reads after the caller has disconnected', async () => {
    configure({ kind: 'unsafe', timeoutMs: 400 });
    await untilConfigured(2);
    dispatcher.child.kill('SIGSTOP');
    const ids = [...others, ...others].map(() => nextId());
    const answers = await Promise.all(
      ids.map((id, index) => lookup(others[index % others.length] as ServiceNodeProcess, id)),
    );
    for (const answer of answers) expect(answer?.status).to.be.oneOf([200, 503, 504]);
    const unanswered = ids.filter((_, index) => answers[index]?.status !== 200);
    expect(unanswered.length).to.be.greaterThan(0);
    const sentBefore = unanswered.filter((id) => receivedAs(id).length > 0);
    await until('the calling nodes have closed their connections', async () => {
      const lost = await Promise.all(
        others.map((node) => metricOf(node, 'home_calls_total{outcome="lost"}')),
      );
      return lost.every((count) => count > 0);
    });
    dispatcher.child.kill('SIGCONT');
    await until(
      'the dispatcher serves requests again',
      async () => (await lookup(dispatcher))?.status === 200,
    );
    expect(unanswered.filter((id) => receivedAs(id).length > 0)).to.deep.equal(sentBefore);
  });

  it('rejects requests that cannot get a slot in time, at the dispatcher and through another node', async () => {
    for (const replica of replicas) replica.workMs = 3_000;
    const filling = Array.from({ length: replicas.length * SLOTS }, () => lookup(dispatcher));
    await until('every slot is taken', () => replicas.every(({ running }) => running === SLOTS));
    const startedAt = monotonicMs();
    const ids = [nextId(), nextId()];
    const answers = await Promise.all([
      lookup(dispatcher, ids[0]),
      lookup(others[0] as ServiceNodeProcess, ids[1]),
    ]);
    expect(monotonicMs() - startedAt).to.be.lessThan(1_500);
    for (const answer of answers) {
      expect(answer?.status, answer?.body.toString()).to.equal(503);
      expect(Number(answer?.headers['retry-after'])).to.be.greaterThan(0);
    }
    for (const id of ids) expect(receivedAs(id)).to.have.length(0);
    await Promise.all(filling);
  });

  it('finishes running requests and forwards queued ones when the dispatcher is stopped', async () => {
    for (const replica of replicas) replica.workMs = 200;
    const inFlight = Array.from({ length: 40 }, (_, index) =>
      lookup(others[index % others.length] as ServiceNodeProcess),
    );
    await until('some requests are running', () => replicas.some(({ running }) => running > 0));
    const ended = kill(dispatcher, 'SIGTERM');
    for (const answer of await Promise.all(inFlight))
      expect(answer?.status, answer?.body.toString()).to.equal(200);
    for (const node of others) expect((await lookup(node))?.status).to.equal(200);
    await ended;
  });

  it('serves requests of a new route that a dispatcher without the store does not know', async () => {
    dispatcher.proxy.set('cut');
    await until(
      'the dispatcher reports that it is not ready',
      async () => (await system.status(dispatcher.readyUrl)) === 503,
    );
    configure({ pathPrefix: '/moved/' });
    await until('the other nodes have the change', () =>
      others.every(({ log }) =>
        log.some(({ context }) => context.subject === 'configuration' && context.version === 2),
      ),
    );
    for (const node of others)
      expect((await system.lookup(node, nextId(), {}, '/moved/x'))?.status).to.equal(200);
  });

  it('closes the connection to the replica when the caller disconnects', async () => {
    for (const replica of replicas) replica.workMs = 60_000;
    const leaving = new AbortController();
    const sent = system.http.exchange({
      method: 'POST',
      url: `${(others[0] as ServiceNodeProcess).url}${LOOKUP_PATH}x`,
      headers: { host: HOST, [HEADER.requestId]: nextId(), [HEADER.deadlineMs]: '9000' },
      body: 'question',
      signal: leaving.signal,
    });
    await until('the request is running', () => replicas.some(({ running }) => running > 0));
    const connections = () => replicas.reduce((sum, replica) => sum + replica.connectionCount(), 0);
    const before = connections();
    leaving.abort();
    await sent;
    await until('the connection is closed', () => connections() < before);
  });

  async function metricsOf(node: ServiceNodeProcess): Promise<string> {
    const answer = await system.http.exchange({ method: 'GET', url: node.metricsUrl });
    return answer._unsafeUnwrap().body.toString();
  }

  async function queuedAt(node: ServiceNodeProcess): Promise<number> {
    return Number(/thymecove_waiting_requests\{[^}]*\} (\d+)/.exec(await metricsOf(node))?.[1] ?? 0);
  }

  /** Value of a metric. `name` includes the labels but not the prefix. */
  async function metricOf(node: ServiceNodeProcess, name: string): Promise<number> {
    const line = (await metricsOf(node)).split('\n').find((text) => text.startsWith(`thymecove_${name} `));
    return Number(line?.split(' ')[1] ?? 0);
  }
});
