/** What a broken connection says of the replica, and what makes two tries the same request. */
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

describe('the look at a replica whose connection broke', () => {
  it('tells one that has ended from one that has cut a connection', async () => {
    const check = new CrashCheck(new ServiceMetrics());
    const { server, replica } = await listen();
    expect(await check.hasCrashed(replica)).to.equal(false);
    server.close();
    await once(server, 'close');
    expect(await check.hasCrashed(replica)).to.equal(true);
  });

  it('takes a machine that says nothing for one that may be there', async () => {
    const check = new CrashCheck(new ServiceMetrics(), async () => 'unknown');
    expect(await check.hasCrashed(replicaAt('127.0.0.1:1'))).to.equal(false);
  });

  it('takes one that has started again at its address for ended', async () => {
    const check = new CrashCheck(new ServiceMetrics(), async () => 'listening');
    const replica = replicaAt('127.0.0.1:1');
    replica.noteEnd('restarted');
    expect(await check.hasCrashed(replica)).to.equal(true);
  });

  it('is shared by requests that broke together', async () => {
    let looks = 0;
    const check = new CrashCheck(new ServiceMetrics(), async () => {
      looks += 1;
      return 'refused';
    });
    const ended = await Promise.all([1, 2, 3].map(() => check.hasCrashed(replicaAt('127.0.0.1:1'))));
    expect(ended).to.deep.equal([true, true, true]);
    expect(looks).to.equal(1);
  });
});

describe('the digest of a request', () => {
  const request: IdentifiedRequest = {
    method: 'POST',
    path: '/lookup/x',
    host: 'h',
    tenant: undefined,
    body: Buffer.from('question'),
  };

  it('is the same for each try, and another one for one changed byte, path, host or tenant', () => {
    expect(digestOf({ ...request, body: Buffer.from('question') })).to.equal(digestOf(request));
    const others: Partial<IdentifiedRequest>[] = [
      { body: Buffer.from('questioN') },
      { path: '/lookup/y' },
      { host: 'g' },
      { tenant: 't' },
      { method: 'PUT' },
    ];
    const digests = others.map((change) => digestOf({ ...request, ...change }));
    expect(new Set([digestOf(request), ...digests]).size).to.equal(others.length + 1);
  });
});
