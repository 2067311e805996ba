/** A response that does not end must fail by its size or its time, and its connection must be closed. */
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { createServer, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import { type EndlessKind, sendEndlessly } from '../../emulator/replica/endless-answers.js';
import { HttpClient, readFully } from '../../src/transport/http-client.js';
import { until } from '../support/wait.js';

const BODY_LIMIT_BYTES = 1024 * 1024;
/** Most bytes that may be sent before the connection is closed; buffers of the system count. */
const SENT_LIMIT_BYTES = 32 * 1024 * 1024;
const RESPONSE_LIMIT_BYTES = 4 * 1024 * 1024;
/** A response that has not failed by then has no bound by size. */
const TIMEOUT_MS = 1_500;

const KINDS: readonly EndlessKind[] = [
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

describe('HttpClient, for responses without end', () => {
  let server: Server;
  let client: HttpClient;
  let kind: EndlessKind;
  let sentBytes: number;
  let sockets: Socket[];
  let paceMs: number;

  beforeEach(async () => {
    sentBytes = 0;
    sockets = [];
    paceMs = 0;
    server = createServer((socket) => {
      sockets.push(socket);
      socket.once('data', () => {
        const onSent = (bytes: number) => {
          sentBytes += bytes;
        };
        void sendEndlessly(socket, kind, 'request-1', { paceMs, onSent });
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    client = new HttpClient({ maxResponseBytes: RESPONSE_LIMIT_BYTES });
  });

  afterEach(async () => {
    await client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  });

  const url = () => `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;

  /** How the exchange failed; 'whole' if it did not. */
  async function failureOf(): Promise<string> {
    const response = await client.send({
      method: 'GET',
      url: url(),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    if (response.isErr()) return response.error.failure;
    const body = await readFully(response.value.body, BODY_LIMIT_BYTES);
    return body.isErr() ? body.error.failure : 'whole';
  }

  const untilClosed = () =>
    until('the connection is closed', async () => sockets.every((one) => one.destroyed));

  for (const each of KINDS)
    it(`fails by size before its time is over, and closes the connection: ${each}`, async () => {
      kind = each;
      const failure = await failureOf();
      await untilClosed();
      expect(failure).to.not.be.oneOf(['whole', 'timed-out', 'cancelled']);
      expect(sentBytes).to.be.lessThan(SENT_LIMIT_BYTES);
    });

  for (const each of ['line breaks after the answer', 'letters after the answer'] as const)
    it(`takes the whole answer and closes the idle connection: ${each}`, async () => {
      kind = each;
      expect(await failureOf()).to.equal('whole');
      await untilClosed();
      expect(sentBytes).to.be.lessThan(SENT_LIMIT_BYTES);
    });

  it('ends an exchange without limits of its own after a time, though bytes keep coming', async () => {
    kind = 'interim responses';
    paceMs = 50;
    const outgoing = { method: 'GET', url: url(), headTimeoutMs: 300, idleTimeoutMs: 300 };
    const signal = AbortSignal.timeout(2 * TIMEOUT_MS);
    expect((await client.exchange({ ...outgoing, signal }))._unsafeUnwrapErr().failure).to.equal('timed-out');
    expect(signal.aborted).to.equal(false);
    await untilClosed();
  });
});
