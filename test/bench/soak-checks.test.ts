/** The checks of the soak find what they are meant to find: each breach is made up, and named. */
import { expect } from 'chai';
import {
  breaches,
  type Evidence,
  type History,
  jobHistory,
  notePage,
  usageErrors,
} from '../../bench/soak/index.js';
import type { ReadResult, TrainerJob } from '../../emulator/clients/job-trainer.js';
import type { ReceivedOrder, ReceivedRequest } from '../../emulator/replica/replica-server.js';
import type { ReceivedReport } from '../../emulator/usage/usage-server.js';
import type { TenantCounts } from '../../src/protocol/service/usage.js';

const JOB: TrainerJob = {
  id: 'job-1',
  host: 'h',
  path: '/jobs/',
  model: 'm',
  minVersion: 2,
  groups: 1,
  groupSize: 2,
};

function result(item: number, fields: Partial<ReadResult> = {}): ReadResult {
  const id = `job-1-item-${item}`;
  return {
    id,
    state: 'completed',
    text: `text of ${id}`,
    versions: [2],
    score: `signed-${id}-score`,
    ...fields,
  };
}

function request(id: string, atMs: number): ReceivedRequest {
  return {
    id,
    path: '/',
    deadlineMs: undefined,
    lastEventId: undefined,
    tenant: undefined,
    authorization: undefined,
    beganAtMs: undefined,
    atMs,
  };
}

function order(holder: string, fence: number, atMs: number): ReceivedOrder {
  return { holder, fence, model: 'm', version: 2, expected: 0, atMs };
}

function report(
  window: number,
  counts: TenantCounts,
  holder: string,
  fence: number,
  atMs: number,
): ReceivedReport {
  return { window, counts, holder, fence, atMs };
}

describe('checks of the soak', () => {
  let history: History;
  let received: ReceivedRequest[];
  /** Orders at one replica, and at another. */
  let orders: ReceivedOrder[];
  let others: ReceivedOrder[];
  let reports: ReceivedReport[];
  let senders: string[];

  beforeEach(() => {
    const job = jobHistory(JOB);
    job.statuses.push(202);
    notePage(job, 0, [result(0), result(1)]);
    job.endedAtMs = 1_000;
    history = {
      jobs: [job],
      lookups: [{ id: 'l-1', tenant: undefined, status: 200, body: 'answer to l-1' }],
      faults: [],
      fatalEnds: [],
      probes: [],
    };
    received = [request('job-1-item-0', 500), request('job-1-item-1', 3_900), request('l-1', 100)];
    orders = [order('a', 1, 0), order('a', 1, 100), order('b', 2, 1_200)];
    others = [order('b', 2, 300)];
    senders = [];
    reports = [report(7, { x: 2 }, 'a', 1, 0), report(8, {}, 'b', 2, 1_500)];
  });

  const job = () => history.jobs[0] as History['jobs'][number];

  const found = () => {
    const wholeText = (id: string) => `text of ${id}`;
    const evidence: Evidence = {
      received,
      orders: [orders, others],
      reports,
      sendersOf: () => senders,
      wholeText,
      apartMs: 1_000,
      isSingleVersion: true,
    };
    return breaches(history, evidence);
  };

  it('find nothing in a sound history', () => {
    expect(found()).to.deep.equal([]);
  });

  it('find a position that changes, and an item that stands twice', () => {
    notePage(job(), 1, [result(0)]);
    expect(found()).to.deep.equal(['job-1: position 1 changed']);
    notePage(job(), 2, [result(0)]);
    expect(found()).to.include('job-1: job-1-item-0 stands twice');
  });

  it('find a job that is denied, and an item of another job', () => {
    job().denials.push(404);
    notePage(job(), 2, [result(9)]);
    expect(found()).to.include.members([
      'job-1: 404 after it was accepted',
      'job-1: job-1-item-9 belongs to another job',
    ]);
  });

  for (const [what, fields] of [
    ['the text is not whole', { text: 'text' }],
    ['the score is not that of its call', { score: 'signed-other' }],
    ['versions 1, allowed from 2', { versions: [1] }],
    ['versions 2,3, one allowed', { versions: [2, 3] }],
    ['is dead, though nothing has failed it', { state: 'dead' }],
  ] as const)
    it(`find that ${what}`, () => {
      job().positions.set(0, result(0, fields));
      expect(found()).to.deep.equal([`job-1-item-0: ${what}`]);
    });

  it('find a run of a job that was only refused', () => {
    job().statuses.splice(0, 1, 503, 429);
    expect(found()).to.include('job-1-item-0: ran although its job was only refused');
    job().statuses.push(0);
    expect(found()).to.deep.equal([]);
  });

  it('find an item and a scoring call that come after the end, unless their sender was out of touch', () => {
    const late = ['job-1-item-0', 'job-1-item-1-score'];
    const breach = late.map((id) => `${id}: reached a replica after the end of its job`);
    received.push(...late.map((id) => request(id, 4_100)));
    expect(found()).to.deep.equal(breach);
    const freeze = { kind: 'node-freeze', nodes: ['node-1'], fromMs: 900, untilMs: 4_000 };
    history.faults.push(freeze, { ...freeze, kind: 'peer-calls-late', nodes: ['node-2'] });
    senders = ['node-2'];
    expect(found()).to.deep.equal(breach);
    senders = ['node-1'];
    expect(found()).to.deep.equal([]);
    senders = [];
    expect(found()).to.deep.equal([]);
    history.faults.shift();
    expect(found()).to.deep.equal(breach);
    history.faults.push({ kind: 'store-silent', fromMs: 900, untilMs: 4_000 });
    expect(found()).to.deep.equal([]);
  });

  it('find the answer of another request, and a refused request that ran', () => {
    history.lookups.push(
      { id: 'l-2', tenant: undefined, status: 200, body: 'answer to l-1' },
      { id: 'l-1', tenant: undefined, status: 503, body: '' },
      { id: 'l-3', tenant: undefined, status: 503, body: '' },
    );
    received.push({ ...request('l-1', 150), beganAtMs: 150 }, request('l-3', 160));
    expect(found()).to.deep.equal(["l-2: answered with 'answer to l-1'", 'l-1: ran although it was refused']);
  });

  it('find a key that reaches a replica, and a run for another tenant than that of the key', () => {
    received.push(
      { ...request('l-1', 200), authorization: 'Bearer k' },
      { ...request('l-1', 300), tenant: 'x' },
    );
    expect(found()).to.deep.equal(['l-1: reached a replica with its key', 'l-1: ran for x, not for nobody']);
  });

  it('find a request that goes on ending replicas after it must be known, and none that does so at once', () => {
    const end = (body: string, atMs: number) => history.fatalEnds.push({ body, atMs });
    for (const atMs of [0, 10, 20, 30, 40, 50, 3_000]) end('fatal-1', atMs);
    for (const atMs of [0, 10, 20, 4_000, 9_000, 20_000]) end('fatal-2', atMs);
    expect(found()).to.deep.equal([]);
    end('fatal-2', 30_000);
    expect(found()).to.deep.equal(['fatal-2: ended 7 replicas, 4 of them late']);
  });

  it('find a window that is reported twice with different counts, and one that is left out', () => {
    reports.push(
      report(8, {}, 'b', 2, 1_600),
      report(8, { x: 1 }, 'b', 2, 1_700),
      report(10, {}, 'b', 2, 1_800),
    );
    expect(found()).to.deep.equal(['window 8: {}, then {"x":1}', 'window 9 was never reported']);
  });

  it('find reports of two nodes too close to each other, and a fencing token that falls', () => {
    reports.push(report(9, {}, 'a', 1, 1_700));
    expect(found()).to.deep.equal(['token 1 after 2', 'b and a 200 ms apart']);
  });

  it('count the requests by which reports are off', () => {
    const begun = new Map<number, Record<string, number>>([
      [7, { x: 2 }],
      [8, { y: 3 }],
    ]);
    expect(usageErrors(reports, begun)).to.equal(3);
  });

  it('find two holders too close to each other, and a fencing token that does not rise', () => {
    orders.push(order('a', 2, 1_300));
    expect(found()).to.deep.equal([
      'orders of b and a 100 ms apart',
      'fencing token 2 after 2',
      'fencing token 2 of b and a',
    ]);
  });

  it('find two holders that share a fencing token at different replicas', () => {
    others.push(order('c', 2, 9_000));
    expect(found()).to.include('fencing token 2 of b and c');
  });
});
