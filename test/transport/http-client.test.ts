/** A response without a length must not count as complete after a connection reset. */

import type { AddressInfo } from 'node:net';
import { createServer, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import { HttpClient, readFully } from '../../src/transport/http-client.js';

const HEAD = 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n';
const BODY = 'answer';
const BODY_LIMIT = 1_000;
/** Many concurrent requests, so that the last bytes and the reset often arrive together. */
const CONCURRENT_REQUESTS = 20;
const ROUNDS = 20;

describe('HttpClient, for responses that end with their connection', () => {
  let server: Server;
  let client: HttpClient;
  let finish: (socket: Socket) => void;

  beforeEach(async () => {
    server = createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () => {
        socket.write(HEAD + BODY);
        setImmediate(() => finish(socket));
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    client = new HttpClient();
  });

  afterEach(async () => {
    await client.close();
    server.close();
  });

  async function requestOnce(): Promise<string | undefined> {
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
    const response = await client.send({ method: 'GET', url, headers: {} });
    if (response.isErr()) return undefined;
    const body = await readFully(response.value.body, BODY_LIMIT);
    return body.isOk() ? body.value.toString() : undefined;
  }

  async function requestRepeatedly(): Promise<Set<string | undefined>> {
    const answers = new Set<string | undefined>();
    for (let round = 0; round < ROUNDS; round += 1)
      for (const answer of await Promise.all(Array.from({ length: CONCURRENT_REQUESTS }, requestOnce)))
        answers.add(answer);
    return answers;
  }

  it('returns the complete body after an orderly end', async () => {
    finish = (socket) => socket.end();
    expect([...(await requestRepeatedly())]).to.deep.equal([BODY]);
  });

  it('fails after a reset, including one that arrives together with the last bytes', async () => {
    finish = (socket) => socket.resetAndDestroy();
    expect([...(await requestRepeatedly())]).to.deep.equal([undefined]);
  });
});
