import { expect } from 'chai';
import { deductibleMs, isLate, transitMsOf } from '../../../../src/coordination/service/dispatch/transit.js';

describe('time of a call between two nodes', () => {
  it('is unknown without a common clock, as for calls of earlier builds', () => {
    expect(transitMsOf({}, 1_000)).to.equal(undefined);
    expect(transitMsOf({ sentAtMs: 1_000 }, undefined)).to.equal(undefined);
  });

  it('is never negative, since the estimates of two nodes differ', () => {
    expect(transitMsOf({ sentAtMs: 1_030 }, 1_000)).to.equal(0);
    expect(transitMsOf({ sentAtMs: 1_000 }, 1_700)).to.equal(700);
  });

  it('is deducted from the remaining time above the error of the clocks', () => {
    expect(deductibleMs(undefined)).to.equal(0);
    expect(deductibleMs(99)).to.equal(0);
    expect(deductibleMs(300)).to.equal(300);
  });

  it('makes a call late that its caller has given up or sent elsewhere', () => {
    expect(isLate(500)).to.equal(false);
    expect(isLate(501)).to.equal(true);
  });
});
