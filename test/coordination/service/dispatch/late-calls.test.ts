/** Tests of calls that a dispatcher reads late, or that come from a node that knows less than the dispatcher. */
import { expect } from 'chai';
import type { ReplicaServer } from '../../../../emulator/replica/replica-server.js';
import { HEADER } from '../../../../platform/names.js';
import { monotonicMs } from '../../../../src/common/clock.js';
import { untilDispatcherIsKnown } from '../../../support/dispatchers.js';
import { HoldingProxy } from '../../../support/holding-proxy.js';
import { job } from '../../../support/jobs.js';
import { type ServiceNodeProcess, ServiceSystem } from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

/** More nodes than slots per replica, so that the service has a dispatcher. */
const NODES = 5;
const SLOTS = 3;
const NODE_TABLE = 'serving-nodes';

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
