/** The relay of the soak delivers what it is meant to deliver, when it is meant to. */
import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import { monotonicMs, sleep } from '../../src/common/clock.js';
import { LateRelay } from '../support/late-relay.js';
import { until } from '../support/wait.js';

const HELD_MS = 300;
const END_AFTER_MS = 200;
/** How much earlier than due a timer may fire, milliseconds. */
const TIMER_SLACK_MS = 5;

describe('a relay of late bytes', () => {
  let target: Server;
  let relay: LateRelay;
  let received: string;
  let endedAtMs: number | undefined;

  beforeEach(async () => {
    received = '';
    endedAtMs = undefined;
    target = createServer((socket) => {
      socket.on('error', () => {});
      socket.on('data', (chunk) => {
        received += chunk;
        socket.write('answer');
      });
      socket.on('close', () => {
        endedAtMs = monotonicMs();
      });
    }).listen(0, '127.0.0.1');
    await once(target, 'listening');
    relay = await LateRelay.start();
    relay.setTarget(`127.0.0.1:${(target.address() as AddressInfo).port}`);
  });

  afterEach(() => {
    relay.stop();
    target.close();
  });

  async function send(text: string): Promise<Socket> {
    const { hostname, port } = new URL(`http://${relay.address}`);
    const socket = connect(Number(port), hostname);
    socket.on('error', () => {});
    await once(socket, 'connect');
    socket.write(text);
    return socket;
  }

  it('passes calls, answers and ends at once', async () => {
    const socket = await send('call');
    expect(String((await once(socket, 'data'))[0])).to.equal('answer');
    socket.destroy();
    await until('the end has arrived', () => endedAtMs);
    expect(received).to.equal('call');
  });

  it('delivers held bytes late, in order, and the end of their connection later still', async () => {
    relay.hold({ delayMs: () => HELD_MS, endAfterMs: END_AFTER_MS });
    const sentAtMs = monotonicMs();
    const socket = await send('first ');
    await until('the relay holds it', () => relay.heldBytes > 0);
    relay.hold(undefined);
    socket.write('second');
    await until('the relay has both', () => socket.bytesWritten === 'first second'.length);
    socket.destroy();
    expect(received).to.equal('');
    await until('the call has arrived', () => received === 'first second');
    expect(monotonicMs() - sentAtMs).to.be.at.least(HELD_MS - TIMER_SLACK_MS);
    await until('the end has arrived', () => endedAtMs);
    expect((endedAtMs ?? 0) - sentAtMs).to.be.at.least(HELD_MS + END_AFTER_MS - TIMER_SLACK_MS);
  });

  it('never delivers the end of a held connection without a time for it', async () => {
    relay.hold({ delayMs: () => HELD_MS });
    const socket = await send('call');
    await until('the relay holds it', () => relay.heldBytes > 0);
    socket.destroy();
    await until('the call has arrived', () => received === 'call');
    await sleep(END_AFTER_MS);
    expect(endedAtMs).to.equal(undefined);
  });
});
