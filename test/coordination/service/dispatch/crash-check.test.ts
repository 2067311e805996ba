/** Tests of crash detection after a lost connection, and of the digest that identifies a request. */
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { ServiceMetrics } from '../../../../src/common/service-metrics.js';
import { CrashCheck } from '../../../../src/coordination/service/dispatch/crash-check.js';
import {
  digestOf,
  type IdentifiedRequest,
} from '../../../../src/coordination/service/dispatch/request-digest.js';
import { ReplicaState } from '../../../../src/state/service/replicas/replica-state.js';
import { replicaWith } from '../../../support/replicas.js';

const replicaAt = (address: string) => new ReplicaState(replicaWith({ address }));

async function listen(): Promise<{ server: Server; replica: ReplicaState }> {
  const server = createServer(() => {}).listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { server, replica: replicaAt(`127.0.0.1:${(server.address() as AddressInfo).port}`) };
}

describe('CrashCheck', () => {
  it('distinguishes a crashed replica from a lost connection', async () => {
    const check = new CrashCheck(new ServiceMetrics());
    const { server, replica } = await listen();
    expect(await check.hasCrashed(replica)).to.equal(false);
    server.close();
    await once(server, 'close');
    expect(await check.hasCrashed(replica)).to.equal(true);
  });

  it('assumes no crash if the host does not answer', async () => {
    const check = new CrashCheck(new ServiceMetrics(), async () => 'unknown');
    expect(await check.hasCrashed(replicaAt('127.0.0.1:1'))).to.equal(false);
  });

  it('treats a restart at the same address as a crash', async () => {
    const check = new CrashCheck(new ServiceMetrics(), async () => 'listening');
    const replica = replicaAt('127.0.0.1:1');
    replica.recordEnd('restarted');
    expect(await check.hasCrashed(replica)).to.equal(true);
  });

  it('shares one probe between requests that fail at the same time', async () => {
    let probes = 0;
    const check = new CrashCheck(new ServiceMetrics(), async () => {
      probes += 1;
      return 'refused';
    });
    const crashed = await Promise.all([1, 2, 3].map(() => check.hasCrashed(replicaAt('127.0.0.1:1'))));
    expect(crashed).to.deep.equal([true, true, true]);
    expect(probes).to.equal(1);
  });
});

describe('digestOf', () => {
  const request: IdentifiedRequest = {
    method: 'POST',
    path: '/lookup/x',
    host: 'h',
    tenant: undefined,
    body: Buffer.from('question'),
  };

  it('is the same for a retry and differs if the body, path, host, tenant or method changes', () => {
    expect(digestOf({ ...request, body: Buffer.from('question') })).to.equal(digestOf(request));
    const changes: Partial<IdentifiedRequest>[] = [
      { body: Buffer.from('questioN') },
      { path: '/lookup/y' },
      { host: 'g' },
      { tenant: 't' },
      { method: 'PUT' },
    ];
    const digests = changes.map((change) => digestOf({ ...request, ...change }));
    expect(new Set([digestOf(request), ...digests]).size).to.equal(changes.length + 1);
  });
});
