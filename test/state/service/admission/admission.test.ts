/** Tests of admission control, Retry-After and the retry budget. */
import { expect } from 'chai';
import fc from 'fast-check';
import {
  type AdmissionInput,
  admit,
  isDeadlineUnreachable,
  mayHedge,
  mayRequeue,
} from '../../../../src/state/service/admission/admission.js';
import { RetryBudget } from '../../../../src/state/service/admission/retry-budget.js';

const options = { numRuns: 500, seed: 20_261_205 };
const input = (fields: Partial<AdmissionInput> = {}): AdmissionInput => ({
  hasReplica: true,
  queuedAheadMs: 0,
  queuedMs: 0,
  drainPerMs: 8,
  slotWaitMs: 0,
  hasFreeSlot: false,
  serviceTimeMs: 40,
  remainingMs: 800,
  ...fields,
});

describe('admission', () => {
  it('admits only requests that can meet their deadline or find a free slot', () => {
    expect(admit(input({ queuedAheadMs: 4_000, queuedMs: 4_000 }), 0).kind).to.equal('admit');
    expect(admit(input({ queuedAheadMs: 6_400, queuedMs: 6_400 }), 0).kind).to.equal('reject');
    expect(
      admit(input({ queuedAheadMs: 6_400, serviceTimeMs: 9_000, hasFreeSlot: true }), 0).kind,
      'a free slot is available',
    ).to.equal('admit');
    expect(admit(input({ remainingMs: 30 }), 0).kind).to.equal('reject');
    expect(admit(input({ slotWaitMs: 770 }), 0).kind, 'no slot becomes free in time').to.equal('reject');
    expect(admit(input({ slotWaitMs: 750 }), 0).kind).to.equal('admit');
    const unserved = admit(input({ hasReplica: false, hasFreeSlot: true }), 0);
    expect(unserved.kind === 'reject' && unserved.reason).to.equal('no-replica');
  });

  it('returns a Retry-After of at least 50 ms and at most a third of the remaining time', () => {
    const randomInputs = fc.record({
      hasReplica: fc.boolean(),
      queuedAheadMs: fc.nat(200_000),
      queuedMs: fc.nat(200_000),
      drainPerMs: fc.double({ min: 0, max: 50, noNaN: true }),
      slotWaitMs: fc.double({ min: 0, max: 10_000, noNaN: true }),
      hasFreeSlot: fc.boolean(),
      serviceTimeMs: fc.double({ min: 1, max: 2_000, noNaN: true }),
      remainingMs: fc.double({ min: 0, max: 10_000, noNaN: true }),
    });
    fc.assert(
      fc.property(randomInputs, fc.double({ min: 0, max: 1, noNaN: true }), (randomInput, random) => {
        const decision = admit(randomInput, random);
        if (decision.kind === 'admit') return;
        expect(decision.retryAfterMs).to.be.at.least(50);
        expect(decision.retryAfterMs).to.be.at.most(Math.max(100, randomInput.remainingMs / 3));
      }),
      options,
    );
    const crowd = input({ queuedAheadMs: 12_000, queuedMs: 12_000, remainingMs: 500 });
    const decisions = [0, 0.25, 0.5, 0.75].map((random) => admit(crowd, random));
    expect(decisions.every(({ kind }) => kind === 'reject')).to.equal(true);
  });
});

describe('rules for queued requests', () => {
  it('rejects a queued request when less than the margin or half of its service time remains after the slot wait', () => {
    const queued = { remainingMs: 100, slotWaitMs: 60, serviceTimeMs: 80 };
    expect(isDeadlineUnreachable(queued, 40)).to.equal(false);
    expect(isDeadlineUnreachable(queued, 41)).to.equal(true);
    expect(isDeadlineUnreachable({ ...queued, serviceTimeMs: 82 }, 0)).to.equal(true);
  });

  it('requeues a declined request up to 15 times, but never a hedge or a cancelled request', () => {
    expect(mayRequeue(15, false, false)).to.equal(true);
    expect(mayRequeue(16, false, false)).to.equal(false);
    expect(mayRequeue(1, true, false)).to.equal(false);
    expect(mayRequeue(1, false, true)).to.equal(false);
  });

  it('allows a hedge only with an empty queue and a tenth of the slots free', () => {
    expect(mayHedge({ free: 1, slots: 10, waiting: 0 })).to.equal(true);
    expect(mayHedge({ free: 1, slots: 11, waiting: 0 })).to.equal(false);
    expect(mayHedge({ free: 5, slots: 10, waiting: 1 })).to.equal(false);
  });
});

describe('RetryBudget', () => {
  it('allows retries for a fifth of the first attempts', () => {
    const budget = new RetryBudget();
    while (budget.tryTake());
    let taken = 0;
    for (let count = 0; count < 1_000; count += 1) {
      budget.recordFirstAttempt();
      if (budget.tryTake()) taken += 1;
    }
    expect(taken).to.be.within(190, 200);
  });

  it('holds no more tokens than its capacity', () => {
    const budget = new RetryBudget();
    for (let count = 0; count < 1_000; count += 1) budget.recordFirstAttempt();
    expect(budget.available).to.equal(20);
  });
});
