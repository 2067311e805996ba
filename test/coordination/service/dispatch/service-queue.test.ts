/** Tests of the queue of a service, without a network. */
import { setImmediate as turn } from 'node:timers/promises';
import { expect } from 'chai';
import { monotonicMs } from '../../../../src/common/clock.js';
import { ServiceMetrics } from '../../../../src/common/service-metrics.js';
import type {
  DispatchCall,
  DispatchResult,
} from '../../../../src/coordination/service/dispatch/dispatch-call.js';
import type {
  AttemptOutcome,
  ReplicaExchange,
} from '../../../../src/coordination/service/dispatch/replica-exchange.js';
import { ServiceQueue } from '../../../../src/coordination/service/dispatch/service-queue.js';
import { ReplicaDirectory } from '../../../../src/state/service/replicas/replica-directory.js';
import type { ReplicaState } from '../../../../src/state/service/replicas/replica-state.js';
import { replicaWith } from '../../../support/replicas.js';
import { until } from '../../../support/wait.js';

const SLOTS = 2;
const ANSWER: AttemptOutcome = {
  kind: 'answered',
  answer: { status: 200, headers: {}, body: Buffer.from('yes'), signature: 's', isFramed: true },
};
const FULL: AttemptOutcome = { kind: 'declined', reason: 'status 503', isFull: true };

/** A running attempt at a replica. `end` resolves it with an outcome. */
interface OpenAttempt {
  readonly id: string;
  readonly replica: string;
  readonly remainingMs: number;
  readonly end: (outcome?: AttemptOutcome) => void;
}

describe('ServiceQueue', () => {
  let directory: ReplicaDirectory;
  let queue: ServiceQueue;
  let open: OpenAttempt[];
  let isAllowed: boolean;
  let lines: Record<string, unknown>[];

  beforeEach(() => {
    directory = new ReplicaDirectory();
    directory.set(replicaWith({ slots: SLOTS }));
    open = [];
    isAllowed = true;
    lines = [];
    const exchange = {
      attempt: (state: ReplicaState, request: { id: string; remainingMs: number }) =>
        new Promise<AttemptOutcome>((resolve) => {
          state.recordAttemptStart();
          open.push({
            id: request.id,
            replica: state.id,
            remainingMs: request.remainingMs,
            end: (outcome = ANSWER) => {
              state.recordAttemptEnd(true);
              if (outcome.kind === 'declined') state.backOff(30);
              if (outcome.kind === 'answered') state.recordSuccess(20);
              resolve(outcome);
            },
          });
        }),
    };
    queue = new ServiceQueue('s', {
      directory,
      exchange: exchange as unknown as ReplicaExchange,
      slotsOf: ({ replica }) => replica.slots,
      slowStartPerSecond: () => 2,
      zonePenalty: () => 0,
      obstacle: () => (isAllowed ? undefined : 'route-removed'),
      queueLimits: { count: 4, bytes: 1_000_000 },
      metrics: new ServiceMetrics(),
      logger: { record: (record) => lines.push({ ...record }) },
    });
  });

  let calls = 0;

  function call(fields: Partial<DispatchCall> & { remainingMs?: number; id?: string } = {}): DispatchCall {
    calls += 1;
    const { remainingMs = 5_000, id = `call-${calls}`, ...rest } = fields;
    return {
      service: 's',
      workKind: 'lookup',
      request: { id, method: 'POST', path: '/x', host: 'h', headers: {}, body: Buffer.alloc(10) },
      priority: 1,
      flow: 'p',
      isBackground: false,
      targetAtMs: monotonicMs() + 1_000,
      deadlineMs: monotonicMs() + remainingMs,
      isHedge: false,
      isRetry: false,
      excluded: new Set(),
      configVersion: 1,
      signal: new AbortController().signal,
      ...rest,
    };
  }

  async function fill(): Promise<Promise<DispatchResult>[]> {
    const filling = [queue.dispatch(call()), queue.dispatch(call())];
    await turn();
    expect(open).to.have.length(SLOTS);
    return filling;
  }

  it('sends requests immediately while a slot is free, and queues them otherwise', async () => {
    await fill();
    const waiting = queue.dispatch(call({ id: 'third' }));
    await turn();
    expect(open).to.have.length(SLOTS);
    expect(queue.capacity).to.deep.equal({ free: 0, slots: SLOTS, waiting: 1 });
    open[0]?.end();
    await until('the request is sent', () => open.some(({ id }) => id === 'third'));
    open.at(-1)?.end();
    expect((await waiting).outcome.kind).to.equal('answered');
    expect((await waiting).replica?.id).to.equal('r1');
  });

  it('assigns a free slot to the most urgent queued request', async () => {
    await fill();
    void queue.dispatch(call({ id: 'low', priority: 4 }));
    void queue.dispatch(call({ id: 'high', priority: 0 }));
    open[0]?.end();
    await until('a queued request is sent', () => open.length > SLOTS);
    expect(open.at(-1)?.id).to.equal('high');
  });

  it('rejects on arrival a request that cannot meet its deadline, with Retry-After and without sending it', async () => {
    await fill();
    const startedAt = monotonicMs();
    const rejected = await queue.dispatch(call({ id: 'short', remainingMs: 10 }));
    expect(monotonicMs() - startedAt).to.be.lessThan(20);
    expect(rejected.outcome.kind).to.equal('declined');
    expect(rejected.retryAfterMs).to.be.greaterThan(0);
    expect(open.some(({ id }) => id === 'short')).to.equal(false);
    const [line] = lines;
    expect(line).to.include({ event: 'request-refused', requestId: 'short', free: 0, slots: SLOTS });
  });

  it('rejects a request that is queued until its deadline, and never sends it', async () => {
    await fill();
    const rejected = await queue.dispatch(call({ id: 'waited', remainingMs: 120 }));
    expect(rejected.outcome.kind).to.equal('declined');
    open[0]?.end();
    await turn();
    expect(open.some(({ id }) => id === 'waited')).to.equal(false);
  });

  it('rejects a queued request before its deadline, so that the calling node gets the rejection in time', async () => {
    await fill();
    const deadlineMs = monotonicMs() + 300;
    const handedOver: boolean[] = [];
    const waiting = call({ deadlineMs, onHandOver: (mayRun) => handedOver.push(mayRun) });
    const rejected = await queue.dispatch(waiting);
    expect(rejected.outcome.kind).to.equal('declined');
    expect(rejected.retryAfterMs).to.be.greaterThan(0);
    expect(deadlineMs - monotonicMs()).to.be.greaterThan(0);
    expect(handedOver).to.deep.equal([]);
  });

  it('rejects a request with less remaining time than all replicas have spent on their running requests', async () => {
    await fill();
    const filledAtMs = monotonicMs();
    await until('the requests have run for long', () => monotonicMs() - filledAtMs > 150);
    const startedAt = monotonicMs();
    const rejected = await queue.dispatch(call({ remainingMs: 120 }));
    expect(monotonicMs() - startedAt).to.be.lessThan(15);
    expect(rejected.outcome.kind).to.equal('declined');
    expect(rejected.retryAfterMs).to.be.greaterThan(0);
  });

  it('reports when a request is passed to a replica and when it is requeued after a decline', async () => {
    const handedOver: boolean[] = [];
    void queue.dispatch(call({ onHandOver: (mayRun) => handedOver.push(mayRun) }));
    await turn();
    expect(handedOver).to.deep.equal([true]);
    open[0]?.end(FULL);
    await until('the request is sent again', () => open.length === 2);
    expect(handedOver).to.deep.equal([true, false, true]);
  });

  it('removes a cancelled request from the queue immediately', async () => {
    await fill();
    const controller = new AbortController();
    const cancelled = queue.dispatch(call({ id: 'gone', signal: controller.signal }));
    controller.abort();
    expect((await cancelled).outcome.kind).to.equal('cancelled');
    expect(queue.queuedCount).to.equal(0);
    open[0]?.end();
    await turn();
    expect(open.some(({ id }) => id === 'gone')).to.equal(false);
  });

  it('rejects a queued request whose route was removed', async () => {
    await fill();
    const waiting = queue.dispatch(call({ id: 'dropped' }));
    isAllowed = false;
    open[0]?.end();
    expect((await waiting).outcome.kind).to.equal('declined');
    expect(open.some(({ id }) => id === 'dropped')).to.equal(false);
  });

  it('drops the last request in order when the queue is full', async () => {
    await fill();
    const waiting = [4, 3, 2, 2, 0].map((priority) => queue.dispatch(call({ priority })));
    const rejected = await (waiting[0] as Promise<DispatchResult>);
    expect(rejected.outcome.kind).to.equal('declined');
    expect(queue.queuedCount).to.equal(4);
  });

  it('requeues a declined request and sends it to another replica', async () => {
    directory.set(replicaWith({ id: 'r2', slots: SLOTS }));
    const served = queue.dispatch(call());
    await turn();
    const [first] = open as [OpenAttempt];
    first.end(FULL);
    await until('the request is sent again', () => open.length === 2);
    expect(open[1]?.replica).to.not.equal(first.replica);
    open[1]?.end();
    expect((await served).outcome.kind).to.equal('answered');
  });

  it('waits for the back-off of a full replica instead of rejecting the request', async () => {
    const served = queue.dispatch(call());
    await turn();
    open[0]?.end(FULL);
    await until('the request is sent again after the back-off', () => open.length === 2);
    open[1]?.end();
    expect((await served).outcome.kind).to.equal('answered');
  });

  it('sends a hedge only to a free slot of another replica', async () => {
    directory.set(replicaWith({ id: 'r2', slots: SLOTS }));
    void queue.dispatch(call({ id: 'twice' }));
    await turn();
    void queue.dispatch(call({ id: 'twice', isHedge: true }));
    await turn();
    expect(new Set(open.map(({ replica }) => replica)).size).to.equal(2);
    for (let count = 0; count < 3; count += 1) void queue.dispatch(call());
    await turn();
    const third = await queue.dispatch(call({ id: 'twice', isHedge: true }));
    expect(third.outcome.kind).to.equal('declined');
  });

  it('sends no hedges beyond the retry budget', async () => {
    directory.set(replicaWith({ id: 'r2', slots: 100 }));
    let declined = 0;
    for (let count = 0; count < 40; count += 1) {
      const outcome = await Promise.race([queue.dispatch(call({ isHedge: true })), turn()]);
      if (outcome && outcome.outcome.kind === 'declined') declined += 1;
    }
    expect(declined).to.be.at.least(28);
  });

  it('rejects queued requests and finishes running ones when it is closed', async () => {
    const [running] = await fill();
    const waiting = queue.dispatch(call());
    queue.close();
    expect((await waiting).outcome.kind).to.equal('declined');
    open[0]?.end();
    expect((await running)?.outcome.kind).to.equal('answered');
  });

  it('limits the request rate of a replica in slow start and queues the rest', async () => {
    directory.set(replicaWith({ slots: 100, slowStartMs: 60_000 }));
    for (let count = 0; count < 4; count += 1) void queue.dispatch(call());
    await turn();
    expect(open).to.have.length(2);
    expect(queue.queuedCount).to.equal(2);
    await until('the next second has started', () => open.length === 4);
  });

  it('rejects a request if no replica is known', async () => {
    directory.remove('r1');
    expect((await queue.dispatch(call())).outcome.kind).to.equal('declined');
  });

  it('reports a crash of the replica that ran a request, but not a planned shutdown', async () => {
    const first = queue.dispatch(call());
    const second = queue.dispatch(call());
    await turn();
    open[0]?.end({ kind: 'unknown', reason: 'reset', replicaCrashed: true });
    expect((await first).hasCrashedReplica).to.equal(true);
    directory.set(replicaWith({ slots: SLOTS, isDraining: true }));
    open[1]?.end({ kind: 'unknown', reason: 'reset', replicaCrashed: true });
    expect((await second).hasCrashedReplica).to.equal(false);
  });
});
