/** Whether a request may wait, when a refused one should come back, and the budget of second attempts. */
import { expect } from 'chai';
import fc from 'fast-check';
import { type AdmissionTerms, admit } from '../../../../src/state/service/admission/admission.js';
import { ExtraAttempts } from '../../../../src/state/service/admission/extra-attempts.js';

const options = { numRuns: 500, seed: 20_261_205 };
const terms = (fields: Partial<AdmissionTerms> = {}): AdmissionTerms => ({
  workBeforeMs: 0,
  workWaitingMs: 0,
  drainPerMs: 8,
  slotWaitMs: 0,
  hasRoom: false,
  workMs: 40,
  leftMs: 800,
  ...fields,
});

describe('admission', () => {
  it('lets wait what can be served in its time, and nothing else', () => {
    expect(admit(terms({ workBeforeMs: 4_000, workWaitingMs: 4_000 }), 0).kind).to.equal('admitted');
    expect(admit(terms({ workBeforeMs: 6_400, workWaitingMs: 6_400 }), 0).kind).to.equal('refused');
    expect(
      admit(terms({ workBeforeMs: 6_400, workMs: 9_000, hasRoom: true }), 0).kind,
      'a place is free',
    ).to.equal('admitted');
    expect(admit(terms({ leftMs: 30 }), 0).kind).to.equal('refused');
    expect(admit(terms({ slotWaitMs: 770 }), 0).kind, 'no slot in time').to.equal('refused');
    expect(admit(terms({ slotWaitMs: 750 }), 0).kind).to.equal('admitted');
  });

  it('names a time to come back when there is room, spread, and within what callers heed', () => {
    const drawn = fc.record({
      workBeforeMs: fc.nat(200_000),
      workWaitingMs: fc.nat(200_000),
      drainPerMs: fc.double({ min: 0, max: 50, noNaN: true }),
      slotWaitMs: fc.double({ min: 0, max: 10_000, noNaN: true }),
      hasRoom: fc.boolean(),
      workMs: fc.double({ min: 1, max: 2_000, noNaN: true }),
      leftMs: fc.double({ min: 0, max: 10_000, noNaN: true }),
    });
    fc.assert(
      fc.property(drawn, fc.double({ min: 0, max: 1, noNaN: true }), (drawnTerms, chance) => {
        const admission = admit(drawnTerms, chance);
        if (admission.kind === 'admitted') return;
        expect(admission.retryAfterMs).to.be.at.least(50);
        expect(admission.retryAfterMs).to.be.at.most(Math.max(100, drawnTerms.leftMs / 3));
      }),
      options,
    );
    const crowd = terms({ workBeforeMs: 12_000, workWaitingMs: 12_000, leftMs: 500 });
    const times = [0, 0.25, 0.5, 0.75].map((chance) => admit(crowd, chance));
    expect(times.every(({ kind }) => kind === 'refused')).to.equal(true);
  });
});

describe('the budget of second attempts', () => {
  it('is a part of the first attempts', () => {
    const budget = new ExtraAttempts();
    while (budget.take());
    let taken = 0;
    for (let count = 0; count < 1_000; count += 1) {
      budget.noteFirst();
      if (budget.take()) taken += 1;
    }
    expect(taken).to.be.within(190, 200);
  });

  it('saves up no more than a few replicas that fall silent together need', () => {
    const budget = new ExtraAttempts();
    for (let count = 0; count < 1_000; count += 1) budget.noteFirst();
    expect(budget.left).to.equal(20);
  });
});
