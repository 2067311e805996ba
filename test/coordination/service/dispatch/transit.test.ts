import { expect } from 'chai';
import { ClockOffset } from '../../../../src/common/clock-offset.js';
import { isLate, transitMsOf } from '../../../../src/coordination/service/dispatch/transit.js';

describe('time of a call between two nodes', () => {
  it('is unknown without a common clock, as for calls of earlier builds', () => {
    expect(transitMsOf({}, 1_000)).to.equal(undefined);
    expect(transitMsOf({ sentAtMs: 1_000 }, undefined)).to.equal(undefined);
  });

  it('is never negative, since the bounds of two nodes overlap', () => {
    expect(transitMsOf({ sentAtMs: 1_030 }, 1_000)).to.equal(0);
    expect(transitMsOf({ sentAtMs: 1_000 }, 1_700)).to.equal(700);
  });

  it('makes a call late that its caller has given up or sent elsewhere', () => {
    expect(isLate(500)).to.equal(false);
    expect(isLate(501)).to.equal(true);
  });

  it('is not overestimated when the caller has only ever seen slow answers of the store', () => {
    const prompt = new ClockOffset(() => 10_000);
    prompt.record(50_000, 9_996);
    const slow = new ClockOffset(() => 10_000);
    slow.record(50_000 - 750, 10_000 - 800);
    const sentAtMs = 10_000 + (slow.bounds?.mostMs ?? 0);
    const arrivedAtMs = 10_003 + (prompt.bounds?.leastMs ?? 0);
    expect(transitMsOf({ sentAtMs }, arrivedAtMs)).to.be.within(0, 3);
  });
});
