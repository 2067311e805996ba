import { expect } from 'chai';
import { OverdueCalls } from '../../../../src/state/service/store/overdue-calls.js';
import { until } from '../../../support/wait.js';

describe('OverdueCalls', () => {
  it('aborts an overdue call when a later one was answered', async () => {
    const calls = new OverdueCalls(() => {
      const later = calls.open(0);
      later.close(true);
    });
    const lost = calls.open(0);
    await until('the call is aborted', () => lost.signal.aborted);
    lost.close(false);
  });

  it('aborts no call while the store answers nothing, but probes it', async () => {
    let probes = 0;
    const calls = new OverdueCalls(() => {
      probes += 1;
    });
    const waiting = calls.open(0);
    await until('the store was probed several times', () => probes >= 3);
    expect(waiting.signal.aborted).to.equal(false);
    waiting.close(true);
  });

  it('allows a long poll its wait', async () => {
    let probes = 0;
    const calls = new OverdueCalls(() => {
      probes += 1;
      calls.open(0).close(true);
    });
    const held = calls.open(60_000);
    const lost = calls.open(0);
    await until('the other call is aborted', () => lost.signal.aborted);
    expect(held.signal.aborted).to.equal(false);
    held.close(true);
    lost.close(false);
    expect(probes).to.be.greaterThan(0);
  });
});
