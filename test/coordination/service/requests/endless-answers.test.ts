/** A replica that sends bytes without end must cost its callers one attempt. */
import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import type { EndlessKind } from '../../../../emulator/replica/endless-answers.js';
import type { ReplicaServer } from '../../../../emulator/replica/replica-server.js';
import { monotonicMs } from '../../../../src/common/clock.js';
import {
  type RouteFields,
  type ServiceNodeProcess,
  ServiceSystem,
  usualConfiguration,
} from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

/** Time-out of the routes, and time after it until the connection to the replica is aborted, milliseconds. */
const ROUTE_TIMEOUT_MS = 700;
const ABORT_LIMIT_MS = 1_300;
const KILOBYTE = 1024;
const MEGABYTE = 1024 * 1024;
/** Most memory of a node under endless answers (its limit is 256 MB), and their number and size at a time. */
const MEMORY_LIMIT_BYTES = 230 * MEGABYTE;
const CONCURRENT_REQUESTS = 24;
const BURST_BYTES = 12 * MEGABYTE;
/** As on small machines. */
const NODE_OPTIONS = '--max-old-space-size=192 --max-semi-space-size=2';
/** Kinds that exceed a size at full speed. */
const BY_SIZE: readonly EndlessKind[] = [
  'line breaks before the head',
  'status line',
  'header lines',
  'header value',
  'spaces before a header value',
  'interim responses',
  'body without a length',
  'chunked body',
  'chunks of one byte',
  'chunk extension',
  'trailers',
];
/** Kinds that come piece by piece, within any size until the deadline. */
const BY_TIME: readonly EndlessKind[] = [
  'status line',
  'interim responses',
  'chunked body',
  'chunk extension',
];

/** Greatest memory of a process so far, bytes. */
function peakMemory({ child }: ServiceNodeProcess): number {
  const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) * KILOBYTE;
}

describe('endless answers of replicas', () => {
  let system: ServiceSystem;
  let node: ServiceNodeProcess;

  async function start(lookup: RouteFields = {}): Promise<void> {
    system = await ServiceSystem.start();
    system.configure(usualConfiguration(1, { lookup: { timeoutMs: ROUTE_TIMEOUT_MS, ...lookup } }));
  }

  async function startNode(): Promise<void> {
    node = await system.addNode('node-1', {}, { environment: { NODE_OPTIONS } });
    await system.untilReady(node);
  }

  const untilClosed = (replica: ReplicaServer) =>
    until('the connections to the replica are closed', async () => replica.connectionCount() === 0);

  /** One lookup that meets an endless answer, and one after it that is served. */
  async function lookupAt(replica: ReplicaServer, kind: EndlessKind, paceMs: number) {
    Object.assign(replica, { endless: kind, endlessPaceMs: paceMs });
    const calls = replica.endlessCalls;
    const startedAtMs = monotonicMs();
    const answer = await system.lookup(node, `${kind.replaceAll(' ', '-')}-${paceMs}`);
    const tookMs = monotonicMs() - startedAtMs;
    expect(replica.endlessCalls, kind).to.be.greaterThan(calls);
    await untilClosed(replica);
    const closedAfterMs = monotonicMs() - startedAtMs;
    replica.endless = undefined;
    const next = await system.lookup(node, `after-${kind.replaceAll(' ', '-')}-${paceMs}`);
    expect(next?.status, `after ${kind}`).to.equal(200);
    return { status: answer?.status, tookMs, closedAfterMs };
  }

  describe('to requests', () => {
    let replica: ReplicaServer;

    before(async () => {
      await start({ maxAttempts: 1 });
      replica = await system.addApplication();
      await startNode();
    });
    after(() => system.stop());

    for (const kind of BY_SIZE)
      it(`fail by their size, and the request gets its answer before its time: ${kind}`, async () => {
        const { status, tookMs } = await lookupAt(replica, kind, 0);
        expect(status).to.equal(502);
        expect(tookMs).to.be.lessThan(ROUTE_TIMEOUT_MS);
      });

    for (const kind of BY_TIME)
      it(`that trickle are cut at the deadline of the request: ${kind}`, async () => {
        const { status, closedAfterMs } = await lookupAt(replica, kind, 50);
        expect(status).to.equal(504);
        expect(closedAfterMs).to.be.lessThan(ABORT_LIMIT_MS);
      });
  });

  describe('among replicas', () => {
    beforeEach(() => start());
    afterEach(() => system.stop());

    it('cost an attempt: the request is answered by another replica', async () => {
      const [bad] = await Promise.all([system.addApplication(), system.addApplication()]);
      await startNode();
      bad.endless = 'chunked body';
      for (let index = 0; index < 10; index += 1)
        expect((await system.lookup(node, `request-${index}`))?.status).to.equal(200);
      expect(bad.endlessCalls).to.be.within(1, 9);
    });

    it('are cut at the deadline though another replica has answered the request', async () => {
      const [bad] = await Promise.all([system.addApplication(), system.addApplication()]);
      await startNode();
      Object.assign(bad, { endless: 'chunked body', endlessPaceMs: 50 });
      await until('the replica got a request', async () => {
        await system.lookup(node, `request-${monotonicMs()}`);
        return bad.endlessCalls > 0;
      });
      const sinceMs = monotonicMs();
      await untilClosed(bad);
      expect(monotonicMs() - sinceMs).to.be.lessThan(2 * ROUTE_TIMEOUT_MS + ABORT_LIMIT_MS);
    });

    it('do not exhaust the memory of a node when many stay just below the size limit', async () => {
      await system.stop();
      await start({ timeoutMs: 3 * ROUTE_TIMEOUT_MS });
      const bad = await system.addApplication({ slots: CONCURRENT_REQUESTS });
      await startNode();
      const fault = { endless: 'chunked body', endlessPaceMs: 50, endlessBurstBytes: BURST_BYTES };
      Object.assign(bad, fault);
      const answers = await Promise.all(
        Array.from({ length: CONCURRENT_REQUESTS }, (_, index) => system.lookup(node, `request-${index}`)),
      );
      expect(answers.every((answer) => answer !== undefined && answer.status >= 500)).to.equal(true);
      expect(node.child.exitCode).to.equal(null);
      expect(peakMemory(node)).to.be.lessThan(MEMORY_LIMIT_BYTES);
    });
  });
});
