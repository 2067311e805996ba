/** Tests of remote dispatch with failing dispatchers, without a network. */
import { expect } from 'chai';
import { monotonicMs, sleep } from '../../../../src/common/clock.js';
import { ServiceMetrics } from '../../../../src/common/service-metrics.js';
import type {
  DispatchCall,
  DispatchResult,
} from '../../../../src/coordination/service/dispatch/dispatch-call.js';
import { toCall, toOutcomeMessage } from '../../../../src/coordination/service/dispatch/dispatch-messages.js';
import { RemoteDispatch } from '../../../../src/coordination/service/dispatch/remote-dispatch.js';
import type { ServiceQueues } from '../../../../src/coordination/service/dispatch/service-queues.js';
import {
  type DispatchMessage,
  type Framed,
  MAX_DISPATCHED_BODY_BYTES,
  type PeerDispatch,
  type PeerDispatchOptions,
} from '../../../../src/protocol/service/dispatch-peer.js';
import {
  type FleetMember,
  needsDispatchers,
  rankDispatchers,
} from '../../../../src/state/service/replicas/dispatcher-selection.js';
import { ReplicaDirectory } from '../../../../src/state/service/replicas/replica-directory.js';
import { replicaWith } from '../../../support/replicas.js';

const SERVICE = 's';
const LOCAL_RESULT: DispatchResult = {
  outcome: {
    kind: 'answered',
    answer: { status: 200, headers: {}, body: Buffer.from('here'), signature: 'x', isFramed: true },
  },
  hasCrashedReplica: false,
};
const MEMBERS: FleetMember[] = Array.from({ length: 12 }, (_, index) => ({
  name: `node-${index}`,
  peerAddress: `10.0.0.${index}:1`,
  zone: `zone-${index % 3}`,
  capacity: 1,
}));
const RANKED = rankDispatchers(SERVICE, MEMBERS);
const [FIRST] = RANKED as [FleetMember];
/** This node, neither the dispatcher nor the fallback. */
const SELF = RANKED.at(-1) as FleetMember;
const FALLBACK = RANKED.find(({ zone, name }) => zone === SELF.zone && name !== FIRST.name) as FleetMember;

type Answer = (framed: Framed<DispatchMessage>, options: PeerDispatchOptions) => Promise<PeerDispatch>;

const answered: Answer = async (framed, { onAcknowledged }) => {
  onAcknowledged();
  const { message, body } = toOutcomeMessage({
    ...LOCAL_RESULT,
    outcome: {
      kind: 'answered',
      answer: { status: 200, headers: { a: 'b' }, body: framed.body, signature: 'x', isFramed: true },
    },
    capacity: { free: 1, slots: 6, waiting: 0 },
  });
  return { kind: 'outcome', outcome: { message, body } };
};
const refusedConnection: Answer = async () => ({ kind: 'not-taken', reason: 'connection refused' });
const silent: Answer = (_, { signal }) =>
  new Promise((resolve) =>
    signal.addEventListener('abort', () => resolve({ kind: 'lost', reason: 'aborted' })),
  );

describe('RemoteDispatch', () => {
  let remote: RemoteDispatch;
  let called: string[];
  let answers: Map<string, Answer>;
  let servedLocally: number;

  beforeEach(() => {
    const directory = new ReplicaDirectory();
    directory.set(replicaWith({ service: SERVICE, slots: 6 }));
    called = [];
    answers = new Map();
    servedLocally = 0;
    remote = new RemoteDispatch({
      nodeName: SELF.name,
      zone: SELF.zone,
      members: () => MEMBERS,
      directory,
      queues: {
        dispatch: async () => {
          servedLocally += 1;
          return LOCAL_RESULT;
        },
      } as unknown as ServiceQueues,
      isStoreAnswering: () => true,
      storeTimeMs: () => undefined,
      call: (address, framed, options) => {
        const { name } = MEMBERS.find(({ peerAddress }) => peerAddress === address) as FleetMember;
        called.push(name);
        return (answers.get(name) ?? answered)(framed, options);
      },
      metrics: new ServiceMetrics(),
      logger: { record: () => {} },
    });
  });

  function call(body = Buffer.from('question'), signal = new AbortController().signal): DispatchCall {
    const nowMs = monotonicMs();
    return {
      service: SERVICE,
      workKind: 'lookup',
      request: {
        id: 'r',
        method: 'POST',
        path: '/x',
        host: 'h',
        headers: { c: ['d', 'e'] },
        tenant: 't',
        body,
      },
      priority: 2,
      flow: 't',
      isBackground: false,
      targetAtMs: nowMs + 150,
      deadlineMs: nowMs + 800,
      isHedge: false,
      isRetry: false,
      excluded: new Set(['r9']),
      configVersion: 7,
      jobId: 'job-1',
      signal,
    };
  }

  it('sends the request to the first dispatcher by rank and returns its answer', async () => {
    const { outcome, via, capacity } = await remote.dispatch(call(), true);
    expect(called).to.deep.equal([FIRST.name]);
    expect(outcome.kind === 'answered' && outcome.answer.body.toString()).to.equal('question');
    expect(outcome.kind === 'answered' && outcome.answer.headers).to.deep.equal({ a: 'b' });
    expect(via).to.equal(FIRST.name);
    expect(capacity).to.deep.equal({ free: 1, slots: 6, waiting: 0 });
  });

  it('passes all fields of the call to the dispatcher, with the remaining time', async () => {
    let received: DispatchCall | undefined;
    answers.set(FIRST.name, async (framed, options) => {
      received = toCall(framed, undefined, options.signal);
      return answered(framed, options);
    });
    const sent = call();
    await remote.dispatch(sent, true);
    const { signal: _, ...there } = received as DispatchCall;
    const { signal: __, ...here } = sent;
    expect(there).to.deep.include({
      ...here,
      request: sent.request,
      targetAtMs: there.targetAtMs,
      deadlineMs: there.deadlineMs,
    });
    expect(there.deadlineMs).to.be.closeTo(here.deadlineMs, 50);
  });

  it('uses the fallback in its own zone while an unreachable dispatcher is ejected', async () => {
    answers.set(FIRST.name, refusedConnection);
    expect((await remote.dispatch(call(), false)).outcome.kind).to.equal('answered');
    expect((await remote.dispatch(call(), false)).outcome.kind).to.equal('answered');
    expect(called).to.deep.equal([FIRST.name, FALLBACK.name, FALLBACK.name]);
  });

  it('queues requests locally if no dispatcher can be reached', async () => {
    answers.set(FIRST.name, refusedConnection).set(FALLBACK.name, refusedConnection);
    await remote.dispatch(call(), false);
    expect(servedLocally).to.equal(1);
    called.length = 0;
    await remote.dispatch(call(), false);
    expect(called).to.deep.equal([]);
  });

  it('avoid a dispatcher that does not acknowledge: a repeatable one ends soon, later ones go elsewhere at once', async () => {
    answers.set(FIRST.name, silent);
    const startedAt = monotonicMs();
    const lost = await remote.dispatch(call(), true);
    expect(lost.outcome.kind).to.equal('unknown');
    expect(monotonicMs() - startedAt).to.be.within(200, 600);
    expect((await remote.dispatch(call(), true)).via).to.equal(FALLBACK.name);
  });

  it('waits for a dispatcher that may have accepted an unrepeatable request, and sends later ones to the fallback', async () => {
    const leaving = new AbortController();
    answers.set(FIRST.name, silent);
    const waiting = remote.dispatch(call(undefined, leaving.signal), false);
    await sleep(150);
    expect((await remote.dispatch(call(), false)).via).to.equal(FALLBACK.name);
    leaving.abort();
    expect((await waiting).outcome.kind).to.equal('cancelled');
    expect(called.filter((name) => name === FIRST.name)).to.have.length(1);
  });

  it('does not repeat a request whose connection to the dispatcher was lost', async () => {
    answers.set(FIRST.name, async (_, { onAcknowledged }) => {
      onAcknowledged();
      return { kind: 'lost', reason: 'reset' };
    });
    expect((await remote.dispatch(call(), false)).outcome.kind).to.equal('unknown');
    expect(called).to.deep.equal([FIRST.name]);
    expect(servedLocally).to.equal(0);
  });

  it('sends requests to the fallback if the dispatcher knows no replicas', async () => {
    answers.set(FIRST.name, async (framed, options) => {
      options.onAcknowledged();
      const refused: DispatchResult = {
        outcome: { kind: 'declined', reason: 'no replica', isFull: true },
        hasCrashedReplica: false,
        capacity: { free: 0, slots: 0, waiting: 0 },
      };
      const { message, body } = toOutcomeMessage(refused);
      return framed ? { kind: 'outcome', outcome: { message, body } } : answered(framed, options);
    });
    expect((await remote.dispatch(call(), false)).outcome.kind).to.equal('answered');
    expect(called).to.deep.equal([FIRST.name, FALLBACK.name]);
  });

  it('sends requests to the fallback if the dispatcher rejects them because it is leaving', async () => {
    answers.set(FIRST.name, async (_, options) => {
      options.onAcknowledged();
      const refused: DispatchResult = {
        outcome: { kind: 'declined', reason: 'this node is leaving', isFull: true },
        hasCrashedReplica: false,
        capacity: { free: 0, slots: 6, waiting: 0 },
        isLeaving: true,
      };
      const { message, body } = toOutcomeMessage(refused);
      return { kind: 'outcome', outcome: { message, body } };
    });
    expect((await remote.dispatch(call(), false)).via).to.equal(FALLBACK.name);
    expect((await remote.dispatch(call(), false)).via).to.equal(FALLBACK.name);
    expect(called).to.deep.equal([FIRST.name, FALLBACK.name, FALLBACK.name]);
  });

  it('queues requests with a large body locally', async () => {
    await remote.dispatch(call(Buffer.alloc(MAX_DISPATCHED_BODY_BYTES + 1)), true);
    expect(servedLocally).to.equal(1);
    expect(called).to.deep.equal([]);
  });

  it('needs no dispatchers unless nodes outnumber the slots of a replica', () => {
    expect(needsDispatchers(6, [6, 8])).to.equal(false);
    expect(needsDispatchers(7, [6, 8])).to.equal(true);
    expect(needsDispatchers(400, [])).to.equal(false);
  });
});
