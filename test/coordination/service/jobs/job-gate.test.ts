import { expect } from 'chai';
import { JobGate } from '../../../../src/coordination/service/jobs/index.js';

const MAX_AGE_MS = 2_500;

describe('JobGate', () => {
  let nowMs: number;
  let ageMs: number;
  let isStoreAnswering: boolean;
  let state: 'open' | 'ended' | undefined;
  let gate: JobGate;
  let reads: string[];
  let readIsOver: Promise<void>;

  beforeEach(() => {
    nowMs = 0;
    ageMs = 100;
    readIsOver = Promise.resolve();
    isStoreAnswering = true;
    state = 'open';
    const heads = {
      hasEnded: () => state === 'ended',
      ageOf: () => ageMs,
    };
    reads = [];
    const services = {
      heads,
      isStoreAnswering: () => isStoreAnswering,
      maxAgeMs: () => MAX_AGE_MS,
      refresh: async (jobId: string) => {
        reads.push(jobId);
        await readIsOver;
      },
    };
    gate = new JobGate(services, () => nowMs);
  });

  it('lets work of an open job begin, and of a job whose head has not arrived', () => {
    expect(gate.check('job-1')).to.equal('open');
    state = undefined;
    expect(gate.check('job-1')).to.equal('open');
  });

  it('lets no work of an ended job begin, also during an outage of the store', () => {
    state = 'ended';
    expect(gate.check('job-1')).to.equal('ended');
    isStoreAnswering = false;
    gate.check('job-1');
    nowMs = 60_000;
    ageMs = 60_000;
    expect(gate.check('job-1')).to.equal('ended');
  });

  it('does not trust heads that are older than the bound while the store answers', () => {
    ageMs = MAX_AGE_MS + 1;
    expect(gate.check('job-1')).to.equal('unconfirmed');
    ageMs = MAX_AGE_MS;
    expect(gate.check('job-1')).to.equal('open');
  });

  it('reads the head of a job before its age holds work back, once at a time', async () => {
    gate.check('job-1');
    expect(reads).to.deep.equal([]);
    ageMs = MAX_AGE_MS - 1;
    readIsOver = new Promise(() => {});
    expect(gate.check('job-1')).to.equal('open');
    ageMs = MAX_AGE_MS + 1;
    expect(gate.check('job-1')).to.equal('unconfirmed');
    expect(reads).to.deep.equal(['job-1']);
  });

  it('lets work go on during an outage of the store', () => {
    isStoreAnswering = false;
    expect(gate.check('job-1')).to.equal('open');
    nowMs = 5_000;
    ageMs = 5_000;
    expect(gate.check('job-1')).to.equal('open');
    isStoreAnswering = true;
    expect(gate.check('job-1')).to.equal('unconfirmed');
  });

  it('does not take a process pause for an outage', () => {
    nowMs = 8_000;
    ageMs = 8_000;
    isStoreAnswering = false;
    expect(gate.check('job-1')).to.equal('unconfirmed');
    nowMs = 8_400;
    expect(gate.check('job-1')).to.equal('unconfirmed');
    nowMs = 8_500;
    expect(gate.check('job-1')).to.equal('open');
  });
});
