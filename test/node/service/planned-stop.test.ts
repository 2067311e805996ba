/** Callers of a node that is stopped: each request that may have run gets an answer before the process ends. */
import { once } from 'node:events';
import { request } from 'node:http';
import { connect } from 'node:net';
import { expect } from 'chai';
import { rawHead } from '../../../emulator/replica/replica-answers.js';
import type { ReplicaServer } from '../../../emulator/replica/replica-server.js';
import { HEADER } from '../../../platform/names.js';
import {
  HOST,
  LOOKUP_PATH,
  type ServiceNodeProcess,
  ServiceSystem,
  usualConfiguration,
} from '../../support/service-system.js';
import { callOnce, callUntilRefused, type StopCall } from '../../support/stop-clients.js';
import { until } from '../../support/wait.js';

/** Framing of an answer that ends with its connection. */
const CLOSING = 'connection: close\r\n';
const GRACE_S = 4;
const CALLERS = 8;
/** Work and deadline of a request, milliseconds: a deadline reaches beyond the end of the process for a long time. */
const WORK_MS = 600;
const DEADLINE_MS = 2_000;

describe('A node that is stopped', () => {
  let system: ServiceSystem;
  let replica: ReplicaServer;
  let node: ServiceNodeProcess;

  beforeEach(async () => {
    system = await ServiceSystem.start();
    replica = await system.addApplication({ slots: CALLERS * 2, workMs: WORK_MS });
    node = await system.addNode('node-1', { 'bounds.graceS': String(GRACE_S) });
    await system.untilReady(node);
  });

  afterEach(() => system.stop());

  /** Stops the node; resolves to its exit code, or `null` if it had to be killed at the end of the grace time. */
  async function stopNode(): Promise<number | null> {
    const ended = once(node.child, 'exit');
    node.child.kill('SIGTERM');
    const kill = setTimeout(() => node.child.kill('SIGKILL'), GRACE_S * 1_000);
    const [code] = (await ended) as [number | null];
    clearTimeout(kill);
    return code;
  }

  function hasRun({ id }: StopCall): boolean {
    return replica.received.some((request) => request.id === id);
  }

  for (const kind of ['safe', 'unsafe']) {
    // LOST: requests that were read late in the grace time were passed on and cut off by the exit.
    it(`answers every ${kind} request that it passed on, and runs none that it refused`, async () => {
      system.configure(usualConfiguration(2, { lookup: { kind } }));
      await until('the configuration is applied', () =>
        node.log.some(({ context }) => context.subject === 'configuration' && context.version === 2),
      );
      const callers = Array.from({ length: CALLERS }, (_, index) =>
        callUntilRefused(node.url, `caller-${index}`, DEADLINE_MS),
      );
      await until('requests run', () => replica.running === CALLERS);
      expect(await stopNode()).to.equal(0);
      const calls = (await Promise.all(callers)).flat();
      expect(calls.filter((call) => call.status === undefined && hasRun(call))).to.deep.equal([]);
      const refused = calls.filter(({ status }) => status === 503);
      expect(refused.filter(hasRun)).to.deep.equal([]);
      expect(refused.filter(({ retryAfter }) => retryAfter === undefined)).to.deep.equal([]);
      const served = calls.filter(({ status }) => status === 200);
      expect(served.length).to.be.at.least(CALLERS * 2);
      expect(
        served.length + refused.length + calls.filter(({ error }) => error !== undefined).length,
      ).to.equal(calls.length);
    });
  }

  // LOST: a request whose work outlasts the grace time was cut off without a word on whether it may have run.
  it('answers a request that outlasts the grace time before the process ends', async () => {
    system.configure(usualConfiguration(2, { lookup: { kind: 'unsafe', timeoutMs: 30_000 } }));
    await until('the configuration is applied', () =>
      node.log.some(({ context }) => context.subject === 'configuration' && context.version === 2),
    );
    replica.workMs = 20_000;
    const pending = callOnce(node.url, 'long', 30_000);
    await until('it runs', () => replica.running === 1);
    expect(await stopNode()).to.equal(0);
    expect((await pending).status).to.equal(502);
  });

  // LOST: the same when the platform signals the node again and again.
  it('does so when further signals come during the stop', async () => {
    const callers = Array.from({ length: CALLERS }, (_, index) =>
      callUntilRefused(node.url, `caller-${index}`, DEADLINE_MS),
    );
    await until('requests run', () => replica.running === CALLERS);
    const stopped = stopNode();
    for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
      const served = replica.received.length;
      await until('more requests are served', () => replica.received.length > served);
      node.child.kill(signal);
    }
    expect(await stopped).to.equal(0);
    const calls = (await Promise.all(callers)).flat();
    expect(calls.filter((call) => call.status === undefined && hasRun(call))).to.deep.equal([]);
  });

  // LOST: the same while the leases and jobs of the node cannot be handed over.
  it('does so while the store is silent, too', async () => {
    const callers = Array.from({ length: CALLERS }, (_, index) =>
      callUntilRefused(node.url, `caller-${index}`, DEADLINE_MS),
    );
    await until('requests run', () => replica.running === CALLERS);
    system.store.mode = 'silent';
    expect(await stopNode()).to.equal(0);
    const calls = (await Promise.all(callers)).flat();
    expect(calls.filter((call) => call.status === undefined && hasRun(call))).to.deep.equal([]);
  });

  // LOST: a body that was still being sent at the end of the grace time got no answer.
  it('refuses a request whose body is not whole when the process ends', async () => {
    const headers = {
      host: HOST,
      [HEADER.requestId]: 'slow-body',
      [HEADER.deadlineMs]: '30000',
      'content-length': '100',
    };
    const sent = request(`${node.url}${LOOKUP_PATH}x`, { method: 'POST', headers });
    const answered = once(sent, 'response') as Promise<[{ statusCode: number }]>;
    sent.write('the first bytes');
    await until(
      'another request is served',
      async () => (await system.lookup(node, 'other'))?.status === 200,
    );
    expect(await stopNode()).to.equal(0);
    expect((await answered)[0].statusCode).to.equal(503);
    expect(replica.received.map(({ id }) => id)).to.not.include('slow-body');
  });

  describe('with a caller that reads slowly', () => {
    const BODY = 'x'.repeat(8 * 1024 * 1024);

    /** A caller that has sent a request and reads nothing until it is resumed. */
    async function pausedCaller(framing: string): Promise<{ resume: () => Promise<string> }> {
      replica.respond = (socket, id) => {
        socket.write(`${rawHead(id, 'signed')}${framing}\r\n${BODY}`);
        if (framing === CLOSING) socket.end();
        return true;
      };
      const { port } = new URL(node.url);
      const socket = connect(Number(port), '127.0.0.1');
      socket.pause();
      const fields = `host: ${HOST}\r\n${HEADER.requestId}: slow\r\n${HEADER.deadlineMs}: 3000\r\n`;
      socket.write(`GET ${LOOKUP_PATH}x HTTP/1.1\r\n${fields}\r\n`);
      await until('the answer has been sent', () =>
        node.log.some(
          ({ message, context }) => message === 'request-answered' && context.requestId === 'slow',
        ),
      );
      replica.respond = undefined;
      const resume = async () => {
        let received = 0;
        socket.on('data', (chunk) => {
          received += chunk.length;
        });
        const reset = once(socket, 'error').then(() => 'reset');
        // Node reports a reset that arrives with the last bytes as an end, without the address of the peer.
        const ended = once(socket, 'end').then(() => {
          if (socket.remoteAddress === undefined) return 'reset';
          return received > BODY.length ? 'whole' : 'cut';
        });
        socket.resume();
        return Promise.race([reset, ended]);
      };
      return { resume };
    }

    // LOST: the process exited while a whole answer waited for its caller.
    it('waits until the answer is read', async () => {
      const idle = connect(Number(new URL(node.url).port), '127.0.0.1');
      const fields = `host: ${HOST}\r\n${HEADER.requestId}: idle\r\n`;
      idle.write(`GET ${LOOKUP_PATH}x HTTP/1.1\r\n${fields}\r\n`);
      idle.resume();
      const caller = await pausedCaller(`content-length: ${BODY.length}\r\n`);
      const stopped = stopNode();
      await once(idle, 'end');
      expect(await caller.resume()).to.equal('whole');
      expect(await stopped).to.equal(0);
    });

    // MIXED: an answer that ends with its connection looked whole when the exit of the process cut it.
    it('resets the connection of an answer that is not read in time', async () => {
      const caller = await pausedCaller(CLOSING);
      expect(await stopNode()).to.equal(0);
      expect(await caller.resume()).to.equal('reset');
    });
  });
});
