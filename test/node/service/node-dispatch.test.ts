/** Which calls of other nodes a node takes. */
import { expect } from 'chai';
import type { JobGateVerdict } from '../../../src/coordination/service/jobs/job-gate.js';
import { NodeDispatch, type NodeDispatchDependencies } from '../../../src/node/service/node-dispatch.js';
import type { DispatchMessage } from '../../../src/protocol/service/dispatch-peer.js';
import { RoutingTable } from '../../../src/state/service/configuration/index.js';
import { ReplicaDirectory } from '../../../src/state/service/replicas/index.js';

const STORE_TIME_MS = 60_000;

const MESSAGE: DispatchMessage = {
  service: 'application',
  workKind: 'score',
  id: 'call-1',
  method: 'POST',
  path: '/score/1',
  host: 'h',
  headers: {},
  rank: 1,
  party: 'scoring',
  isPatient: true,
  isExtra: false,
  isRetry: false,
  aimMs: 1_000,
  leftMs: 1_000,
  excluded: [],
  configVersion: 1,
  isServed: true,
};

describe('NodeDispatch', () => {
  let verdict: JobGateVerdict;
  let dispatch: NodeDispatch;

  beforeEach(() => {
    verdict = 'open';
    const metrics = { refusedRequests: { inc: () => {} } };
    dispatch = new NodeDispatch({
      store: {
        isAnswering: () => true,
        clock: () => ({ earliestMs: STORE_TIME_MS, latestMs: STORE_TIME_MS }),
        nowMs: () => STORE_TIME_MS,
      },
      settings: { nodeName: 'node-1', zone: 'z', memoryBytes: 1e9 },
      budget: { limitBytes: 1e6 },
      routing: new RoutingTable(),
      directory: new ReplicaDirectory(),
      jobGate: { check: () => verdict },
      metrics,
      logger: { record: () => {} },
    } as unknown as NodeDispatchDependencies);
  });

  const isTaken = (fields: Partial<DispatchMessage>) =>
    dispatch.dispatchForPeer(
      { message: { ...MESSAGE, ...fields }, body: Buffer.alloc(0) },
      new AbortController().signal,
    ) !== undefined;

  it('leaves a call to another node while it cannot tell whether its job is open', () => {
    verdict = 'unconfirmed';
    expect(isTaken({ jobId: 'job-1' })).to.equal(false);
    expect(isTaken({})).to.equal(true);
  });

  it('takes a call of an open job, and of a build that names neither job nor time', () => {
    expect(isTaken({ jobId: 'job-1', sentAtMs: STORE_TIME_MS - 100 })).to.equal(true);
    expect(isTaken({})).to.equal(true);
  });

  it('does not take a call that was on the way for too long', () => {
    expect(isTaken({ sentAtMs: STORE_TIME_MS - 600 })).to.equal(false);
  });
});
