/** A response whose status line is no status line of HTTP must fail: its status would reach a caller. */
import { once } from 'node:events';
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import { HttpClient } from '../../src/transport/http-client.js';
import { until } from '../support/wait.js';

const HEADERS = 'request-id: own\r\ncontent-length: 4\r\n\r\ndone';
const ODD_STATUS_LINES = [
  ...['000', '001', '099', '100', '101', '199', '600', '700', '999', '1000'].map(
    (it) => `HTTP/1.1 ${it} Odd`,
  ),
  'HTTP/1.1 +200 OK',
  'HTTP/1.1 -200 OK',
  'HTTP/1.1 20 OK',
  'HTTP/1.1 OK',
  'HTTP/3.7 200 OK',
];
const USUAL_STATUS_LINES = ['HTTP/1.1 200 OK', 'HTTP/1.1 200', 'HTTP/1.1 299 Rare', 'HTTP/1.1 599 Rare'];
const TIMEOUT_MS = 300;

describe('HttpClient, for status lines', () => {
  let server: Server;
  let client: HttpClient;
  let statusLine: string;
  let sockets: Set<Socket>;

  beforeEach(async () => {
    sockets = new Set();
    server = createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => {});
      socket.on('close', () => sockets.delete(socket));
      socket.on('data', () => socket.write(`${statusLine}\r\n${HEADERS}`));
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    client = new HttpClient();
  });

  afterEach(async () => {
    await client.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  });

  function exchange(freshConnection: boolean) {
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/`;
    const echoedHeader = { name: 'request-id', value: 'own' };
    return client.exchange({ method: 'GET', url, freshConnection, echoedHeader, totalTimeoutMs: TIMEOUT_MS });
  }

  // MIXED: a caller got an answer with the status 000 of a replica in trouble; here, 600 and above.
  for (const line of ODD_STATUS_LINES)
    it(`fails and closes the connection: ${line}`, async () => {
      statusLine = line;
      for (const freshConnection of [true, false])
        expect((await exchange(freshConnection)).isErr(), `fresh ${freshConnection}`).to.equal(true);
      await until('the connections are closed', () => sockets.size === 0);
    });

  for (const line of USUAL_STATUS_LINES)
    it(`takes the response: ${line}`, async () => {
      statusLine = line;
      for (const freshConnection of [true, false])
        expect((await exchange(freshConnection))._unsafeUnwrap().status).to.equal(Number(line.split(' ')[1]));
    });

  // A final response after several interim ones, which are all allowed, counted as a lost connection.
  it('takes the final response after interim ones', async () => {
    statusLine = `${'HTTP/1.1 103 Early\r\n\r\n'.repeat(3)}HTTP/1.1 200 OK`;
    for (const freshConnection of [true, false])
      expect((await exchange(freshConnection))._unsafeUnwrap().body.toString()).to.equal('done');
  });
});
