import { expect } from 'chai';
import { JobHeads } from '../../../../src/coordination/service/jobs/job-heads.js';
import {
  JobOwnership,
  type JobOwnershipServices,
} from '../../../../src/coordination/service/jobs/job-ownership.js';
import type { JobHead, JobRecord } from '../../../../src/state/service/jobs/index.js';

const OTHER_NODE = { node: 'node-2', life: 'life-2' };

function head(jobId: string, version: number): JobHead {
  const record = { state: 'open', owner: OTHER_NODE, epoch: 1, model: 'model-a' } as unknown as JobRecord;
  return { jobId, version, record };
}

describe('A snapshot of the jobs', () => {
  let ownership: JobOwnership;

  beforeEach(() => {
    const services = {
      heads: new JobHeads(() => 0),
      sessions: { onPoll: () => {}, observedTimeMs: 0, isLost: () => false },
      cache: { remove: () => {} },
    };
    const self = { node: 'node-1', life: 'life-1' };
    ownership = new JobOwnership(services as unknown as JobOwnershipServices, self);
  });

  // A job that was accepted while a snapshot was read was forgotten; its run was stopped and begun anew.
  it('keeps a job that is newer, and forgets an older one that it does not hold', () => {
    ownership.updateHead(head('older', 5));
    ownership.updateHead(head('newer', 7));
    ownership.replaceAll([], 6);
    expect(ownership.heads.ids).to.deep.equal(['newer']);
  });
});
