/** The stand-in that takes reports of usage notes when they arrive, however long it takes over them. */
import { expect } from 'chai';
import { UsageServer } from '../../emulator/usage/usage-server.js';
import { PlatformUsageClient } from '../../platform/usage-client.js';
import { HttpClient } from '../../src/transport/http-client.js';
import { reportBreaches } from '../support/tenants.js';
import { until } from '../support/wait.js';

const SLOW_MS = 400;

describe('the stand-in for reports of usage', () => {
  const http = new HttpClient();
  const server = new UsageServer();

  after(async () => {
    server.stop();
    await http.close();
  });

  it('notes the arrival of a report that it takes its time over, so that later ones are not too close to it', async () => {
    const client = new PlatformUsageClient(http, await server.start());
    const send = (window: number, node: string, fencingToken: number) =>
      client.report({ window, counts: {} }, { node, fencingToken }, 10_000);
    server.delayMs = SLOW_MS;
    const sentAtMs = performance.now();
    const slow = send(1, 'node-1', 1);
    await until('the second is due', () => performance.now() - sentAtMs > SLOW_MS / 2);
    server.delayMs = 0;
    await send(2, 'node-2', 2);
    await slow;
    const apartMs = performance.now() - sentAtMs;
    expect(reportBreaches(server.reports, SLOW_MS / 4)).to.deep.equal([]);
    expect(reportBreaches(server.reports, apartMs)).to.have.length(1);
  });
});
