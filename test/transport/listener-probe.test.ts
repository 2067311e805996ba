/** Guards against a crash that is missed because this process was paused while it probed the address. */

import { once } from 'node:events';
import { type AddressInfo, createServer } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import { expect } from 'chai';
import { probeListener } from '../../src/transport/listener-probe.js';

const TIMEOUT_MS = 100;
const PAUSE_MS = 3 * TIMEOUT_MS;

/** Holds up this process, as a pause or a starved processor does. */
function pause(): void {
  const untilMs = performance.now() + PAUSE_MS;
  while (performance.now() < untilMs);
}

describe('probeListener', () => {
  let address: string;
  const server = createServer((socket) => socket.destroy());

  beforeEach(async () => {
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  afterEach(() => server.close());

  it('recognizes a listener', async () => {
    expect(await probeListener(address, TIMEOUT_MS)).to.equal('listening');
  });

  it('recognizes a refusal that came while this process was paused', async () => {
    server.close();
    await once(server, 'close');
    await setImmediate();
    const probing = probeListener(address, TIMEOUT_MS);
    pause();
    expect(await probing).to.equal('refused');
  });
});
