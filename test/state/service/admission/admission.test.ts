/** Whether a request may wait, when a refused one should come back, and the budget of second attempts. */
import { expect } from 'chai';
import fc from 'fast-check';
import { type AdmissionTerms, admit } from '../../../../src/state/service/admission/admission.js';
import { RetryBudget } from '../../../../src/state/service/admission/retry-budget.js';

const options = { numRuns: 500, seed: 20_261_205 };
const terms = (fields: Partial<AdmissionTerms> = {}): AdmissionTerms => ({
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
  it('lets wait what can be served in its time, and nothing else', () => {
    expect(admit(terms({ queuedAheadMs: 4_000, queuedMs: 4_000 }), 0).kind).to.equal('admitted');
    expect(admit(terms({ queuedAheadMs: 6_400, queuedMs: 6_400 }), 0).kind).to.equal('refused');
    expect(
      admit(terms({ queuedAheadMs: 6_400, serviceTimeMs: 9_000, hasFreeSlot: true }), 0).kind,
      'a place is free',
    ).to.equal('admitted');
    expect(admit(terms({ remainingMs: 30 }), 0).kind).to.equal('refused');
    expect(admit(terms({ slotWaitMs: 770 }), 0).kind, 'no slot in time').to.equal('refused');
    expect(admit(terms({ slotWaitMs: 750 }), 0).kind).to.equal('admitted');
  });

  it('names a time to come back when there is room, spread, and within what callers heed', () => {
    const drawn = fc.record({
      queuedAheadMs: fc.nat(200_000),
      queuedMs: fc.nat(200_000),
      drainPerMs: fc.double({ min: 0, max: 50, noNaN: true }),
      slotWaitMs: fc.double({ min: 0, max: 10_000, noNaN: true }),
      hasFreeSlot: fc.boolean(),
      serviceTimeMs: fc.double({ min: 1, max: 2_000, noNaN: true }),
      remainingMs: fc.double({ min: 0, max: 10_000, noNaN: true }),
    });
    fc.assert(
      fc.property(drawn, fc.double({ min: 0, max: 1, noNaN: true }), (drawnTerms, chance) => {
        const admission = admit(drawnTerms, chance);
        if (admission.kind === 'admitted') return;
        expect(admission.retryAfterMs).to.be.at.least(50);
        expect(admission.retryAfterMs).to.be.at.most(Math.max(100, drawnTerms.remainingMs / 3));
      }),
      options,
    );
    const crowd = terms({ queuedAheadMs: 12_000, queuedMs: 12_000, remainingMs: 500 });
    const times = [0, 0.25, 0.5, 0.75].map((chance) => admit(crowd, chance));
    expect(times.every(({ kind }) => kind === 'refused')).to.equal(true);
  });
});

describe('the budget of second attempts', () => {
  it('is a part of the first attempts', () => {
    const budget = new RetryBudget();
    while (budget.take());
    let taken = 0;
    for (let count = 0; count < 1_000; count += 1) {
      budget.noteFirst();
      if (budget.take()) taken += 1;
    }
    expect(taken).to.be.within(190, 200);
  });

  it('saves up no more than a few replicas that fall silent together need', () => {
    const budget = new RetryBudget();
    for (let count = 0; count < 1_000; count += 1) budget.noteFirst();
    expect(budget.left).to.equal(20);
  });
});
