/** Tests of calls that a dispatcher reads late, or that come from a node that knows less than the dispatcher. */
import { expect } from 'chai';
import type { ReplicaServer } from '../../../../emulator/replica/replica-server.js';
import { HEADER } from '../../../../platform/names.js';
import { monotonicMs } from '../../../../src/common/clock.js';
import { untilDispatcherIsKnown } from '../../../support/dispatchers.js';
import { HoldingProxy } from '../../../support/holding-proxy.js';
import { job } from '../../../support/jobs.js';
import {
  kill,
  type RouteFields,
  type ServiceNodeProcess,
  ServiceSystem,
  usualConfiguration,
} from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

/** More nodes than slots per replica, so that the service has a dispatcher. */
const NODES = 5;
const SLOTS = 3;
const NODE_TABLE = 'serving-nodes';
/** Longer than a call may take between two nodes, milliseconds. */
const LATE_MS = 1_000;

describe('calls that reach a dispatcher late', () => {
  let system: ServiceSystem;
  let applications: ReplicaServer[];
  let dispatcher: ServiceNodeProcess;
  let others: ServiceNodeProcess[];
  let proxy: HoldingProxy;

  beforeEach(async () => {
    system = await ServiceSystem.start();
    applications = await Promise.all([1, 2, 3].map(() => system.addApplication({ slots: SLOTS })));
    const nodes = await Promise.all(
      Array.from({ length: NODES }, (_, index) => system.addNode(`node-${index + 1}`)),
    );
    for (const node of nodes) await system.untilReady(node);
    dispatcher = await untilDispatcherIsKnown(system, nodes);
    others = nodes.filter((node) => node !== dispatcher);
    proxy = await insertProxy();
  });

  afterEach(async () => {
    proxy.stop();
    await system.stop();
  });

  /** Puts a proxy between the dispatcher and the other nodes, by its announcement. */
  async function insertProxy(): Promise<HoldingProxy> {
    const announced = system.store.rows.read<{ peerAddress: string }>(NODE_TABLE, dispatcher.name);
    const inserted = await HoldingProxy.start(announced?.peerAddress ?? '');
    system.store.rows.put(NODE_TABLE, dispatcher.name, { ...announced, peerAddress: inserted.address });
    return inserted;
  }

  async function configure(overrides: Readonly<Record<string, RouteFields>>): Promise<void> {
    system.configure(usualConfiguration(2, overrides));
    await until('the configuration is in force', () =>
      [dispatcher, ...others].every(({ log }) =>
        log.some(({ context }) => context.subject === 'configuration' && context.version === 2),
      ),
    );
  }

  const receivedIds = () => applications.flatMap(({ received }) => received.map(({ id }) => id));

  /** How often each call has reached a replica. */
  const runsOf = (ids: readonly string[]) =>
    ids.map((id) => receivedIds().filter((received) => received === id).length);

  /** IDs of calls that the proxy holds. */
  const heldIds = () => [...proxy.heldText.matchAll(/"id":"([^"]+)"/g)].map((match) => match[1] as string);

  /** Whether the dispatcher has logged what became of a call. */
  const isDecided = (id: string) =>
    dispatcher.log.some(
      ({ message, context }) =>
        ['attempt-ended', 'request-refused', 'call-dropped'].includes(message) && context.requestId === id,
    );

  /** Sends lookups through a node until one is held on its way to the dispatcher; resolves to its ID. */
  async function holdLookup(node: ServiceNodeProcess, deadlineMs: number): Promise<string> {
    let lookups = 0;
    return until('a lookup is held', async () => {
      lookups += 1;
      const id = `lookup-${lookups}`;
      const answer = await system.lookup(node, id, { [HEADER.deadlineMs]: String(deadlineMs) });
      expect(answer?.status, answer?.body.toString()).to.equal(200);
      return heldIds().includes(id) ? id : undefined;
    });
  }

  it('does not send a scoring call that a dispatcher reads after it has acknowledged the end of the job', async () => {
    await system.addEngine();
    proxy.hold();
    const [owner, ...readers] = others as [ServiceNodeProcess, ...ServiceNodeProcess[]];
    expect(await system.trainer.submit(owner.url, job('job-1'))).to.equal(202);
    await system.trainer.readAll(
      readers.map(({ url }) => url),
      'job-1',
      6,
    );
    const held = heldIds().filter((id) => id.startsWith('job-1-'));
    expect(held.length).to.be.greaterThan(0);
    expect(await system.trainer.end(dispatcher.url, 'job-1')).to.equal(200);
    const runsBefore = runsOf(held);
    proxy.release();
    await until('the dispatcher has decided on the calls', () => held.every(isDecided));
    expect(runsOf(held)).to.deep.equal(runsBefore);
  });

  it('does not send a lookup that a dispatcher reads after the deadline of its caller', async () => {
    const deadlineMs = 900;
    const sentAtMs = monotonicMs();
    proxy.hold();
    const id = await holdLookup(others[0] as ServiceNodeProcess, deadlineMs);
    await until('the deadline has passed', () => monotonicMs() > sentAtMs + 2 * deadlineMs);
    const runsBefore = runsOf([id]);
    proxy.release();
    await until('the dispatcher has decided on the call', () => isDecided(id));
    expect(runsOf([id])).to.deep.equal(runsBefore);
  });

  it('serves an unrepeatable request once, elsewhere, when a dispatcher reads it late', async () => {
    await configure({ lookup: { kind: 'unsafe', timeoutMs: 5_000 } });
    proxy.hold();
    const sentAtMs = monotonicMs();
    const answer = system.lookup(others[0] as ServiceNodeProcess, 'unrepeatable');
    await until('the call is late', () => heldIds().length > 0 && monotonicMs() > sentAtMs + LATE_MS);
    proxy.release();
    expect((await answer)?.status).to.equal(200);
    expect(runsOf(['unrepeatable'])).to.deep.equal([1]);
  });

  it('does not send a queued scoring call after the end of its job when its caller was lost without a close', async () => {
    await configure({ score: { timeoutMs: 10_000 } });
    await system.addEngine();
    for (const application of applications) application.workMs = 1_800;
    const fillers = Array.from({ length: applications.length * SLOTS }, (_, index) =>
      system.lookup(dispatcher, `filler-${index}`),
    );
    await until('every slot is taken', () => applications.every(({ running }) => running === SLOTS));
    const owner = others[0] as ServiceNodeProcess;
    expect(await system.trainer.submit(owner.url, job('job-1'))).to.equal(202);
    const isQueued = async () => Number(await waitingAt(dispatcher)) > 0;
    await until('scoring calls are queued at the dispatcher', isQueued);
    proxy.hold();
    await kill(owner);
    expect(await system.trainer.end(dispatcher.url, 'job-1')).to.equal(200);
    const isScoringCall = (id: string) => /^job-1-.*-score$/.test(id);
    const runsBefore = receivedIds().filter(isScoringCall).length;
    await Promise.all(fillers);
    await until('the queue is empty', async () => !(await isQueued()));
    expect(receivedIds().filter(isScoringCall)).to.have.length(runsBefore);
  });

  /** Number of requests that are queued at a node. */
  async function waitingAt({ metricsUrl }: ServiceNodeProcess): Promise<string | undefined> {
    const text = await (await fetch(metricsUrl)).text();
    return /thymecove_waiting_requests\{[^}]*\} (\d+)/.exec(text)?.[1];
  }

  it('does not send a scoring call of an owner that has not learned of the end of its job', async () => {
    const engine = await system.addEngine({ events: 10, workMs: 60 });
    const owner = others[0] as ServiceNodeProcess;
    expect(await system.trainer.submit(owner.url, job('job-1'))).to.equal(202);
    await until('the engine runs an item', () => engine.running > 0);
    owner.proxy.set('freeze');
    expect(await system.trainer.end(dispatcher.url, 'job-1')).to.equal(200);
    const isScoringCall = (id: unknown) => /^job-1-.*-score$/.test(String(id));
    expect(receivedIds().filter(isScoringCall), 'sent before the end').to.deep.equal([]);
    await until('the dispatcher has decided on a scoring call', () =>
      dispatcher.log.some(
        ({ message, context }) =>
          ['attempt-ended', 'request-refused'].includes(message) && isScoringCall(context.requestId),
      ),
    );
    expect(receivedIds().filter(isScoringCall)).to.deep.equal([]);
  });
});
