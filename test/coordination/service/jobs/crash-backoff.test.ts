/** Pauses of an item after replicas crashed while running it. */
import { expect } from 'chai';
import { CrashBackoff } from '../../../../src/coordination/service/jobs/crash-backoff.js';

describe('CrashBackoff', () => {
  it('doubles the pause with each crash up to the maximum, and pauses after crashes only', () => {
    const backoff = new CrashBackoff();
    expect(backoff.recordAttempt(false, false)).to.equal(0);
    const pauses = Array.from({ length: 6 }, () => backoff.recordAttempt(true, false));
    expect(pauses).to.deep.equal([100, 200, 400, 800, 1_000, 1_000]);
    expect(backoff.recordAttempt(false, false)).to.equal(0);
    expect(backoff.recordAttempt(true, false)).to.equal(1_000);
  });

  it('starts anew after an attempt that made events', () => {
    const backoff = new CrashBackoff();
    for (let crash = 0; crash < 4; crash += 1) backoff.recordAttempt(true, false);
    expect(backoff.recordAttempt(true, true)).to.equal(0);
    expect(backoff.recordAttempt(true, false)).to.equal(100);
  });
});
