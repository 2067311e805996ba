/** Rules for items of jobs and for job ownership. */
import { expect } from 'chai';
import {
  attemptTimeoutMs,
  decideRetry,
  replicaFeedback,
  stallTimeoutMs,
} from '../../../../src/coordination/service/jobs/item-policy.js';
import { claimReason, removalDelayMs } from '../../../../src/coordination/service/jobs/ownership-policy.js';

const ROUTE = { maxAttempts: 2, isSingleVersion: false };
const SELF = { node: 'node-1', life: 'new' };

describe('item policy', () => {
  it('declares an item dead when it can never run, or after the failures that its route allows', () => {
    expect(decideRetry({ kind: 'impossible', reason: 'status 422' }, 0, ROUTE).kind).to.equal('dead');
    expect(decideRetry({ kind: 'failed', reason: 'status 500' }, 1, ROUTE).kind).to.equal('retry');
    expect(decideRetry({ kind: 'failed', reason: 'status 500' }, 2, ROUTE).kind).to.equal('dead');
    expect(decideRetry({ kind: 'broken', reason: 'reset' }, 2, ROUTE).kind).to.equal('retry');
  });

  for (const outcome of [
    { kind: 'declined', reason: 'status 503', isFull: true },
    { kind: 'declined', reason: 'status 421', isFull: false },
    { kind: 'version-mismatch', reason: 'status 421' },
    { kind: 'wrong-version', reason: 'old' },
    { kind: 'broken', reason: 'reset' },
    { kind: 'moved', reason: 'slow' },
    { kind: 'cancelled' },
  ] as const)
    it(`keeps an item due however often it ends so: ${JSON.stringify(outcome)}`, () => {
      expect(decideRetry(outcome, ROUTE.maxAttempts * 100, ROUTE).kind).to.equal('retry');
    });

  it('discards the text after a wrong version only where a single version is required', () => {
    const outcome = { kind: 'wrong-version', reason: 'old' } as const;
    expect(decideRetry(outcome, 0, ROUTE)).to.deep.equal({ kind: 'retry', restarts: false });
    expect(decideRetry(outcome, 0, { ...ROUTE, isSingleVersion: true })).to.include({ restarts: true });
  });

  it('distinguishes busy replicas, faulty replicas and failures of the item', () => {
    expect(replicaFeedback({ kind: 'declined', reason: '', isFull: true })).to.equal('busy');
    expect(replicaFeedback({ kind: 'declined', reason: '', isFull: false })).to.equal('faulty');
    expect(replicaFeedback({ kind: 'wrong-version', reason: '' })).to.equal('busy');
    expect(replicaFeedback({ kind: 'version-mismatch', reason: '' })).to.equal('none');
    expect(replicaFeedback({ kind: 'broken', reason: '' })).to.equal('faulty');
    expect(replicaFeedback({ kind: 'failed', reason: '' })).to.equal('none');
    expect(replicaFeedback({ kind: 'whole' })).to.equal('served');
  });

  it('bounds the time-outs of an attempt and of a stall', () => {
    expect(attemptTimeoutMs({ maxQueueMs: 30_000 }, 10_000)).to.equal(20_000);
    expect(attemptTimeoutMs({ maxQueueMs: 30_000 }, 29_900)).to.equal(1_000);
    expect(attemptTimeoutMs({ maxQueueMs: 900_000 }, 0)).to.equal(60_000);
    expect(stallTimeoutMs({ targetLatencyMs: 400 })).to.equal(1_200);
    expect(stallTimeoutMs({ targetLatencyMs: 100 })).to.equal(1_000);
  });
});

describe('ownership policy', () => {
  it('allows claims of jobs that were released, that an earlier process of the node owned, or whose owner is lost', () => {
    const never = () => false;
    const other = { node: 'node-2', life: 'x' };
    expect(claimReason(null, SELF, never)).to.equal('handed back');
    expect(claimReason({ node: 'node-1', life: 'old' }, SELF, never)).to.equal(
      'held by an earlier process of this node',
    );
    expect(claimReason(other, SELF, never)).to.equal(undefined);
    expect(claimReason(other, SELF, () => true)).to.equal('node-2 is lost');
  });

  it('removes an ended job a quarter of the retention after its results expire', () => {
    expect(removalDelayMs(100, 1_000)).to.equal(1_150);
    expect(removalDelayMs(5_000, 1_000)).to.equal(250);
  });
});
