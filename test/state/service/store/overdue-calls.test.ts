/** When calls of the store are given up: only after a later one was answered. */
import { expect } from 'chai';
import { OverdueCalls } from '../../../../src/state/service/store/overdue-calls.js';
import { until } from '../../../support/wait.js';

describe('calls of the store', () => {
  it('are aborted when a later call was answered and they are overdue', async () => {
    const calls = new OverdueCalls(() => {
      const later = calls.open(0);
      later.close(true);
    });
    const lost = calls.open(0);
    await until('it is given up', () => lost.signal.aborted);
    lost.close(false);
  });

  it('are waited for while the store answers nothing at all', async () => {
    let probes = 0;
    const calls = new OverdueCalls(() => {
      probes += 1;
    });
    const waiting = calls.open(0);
    await until('several questions were asked', () => probes >= 3);
    expect(waiting.signal.aborted).to.equal(false);
    waiting.close(true);
  });

  it('may take the time for which the store holds them', async () => {
    let probes = 0;
    const calls = new OverdueCalls(() => {
      probes += 1;
      calls.open(0).close(true);
    });
    const held = calls.open(60_000);
    const lost = calls.open(0);
    await until('the other one is given up', () => lost.signal.aborted);
    expect(held.signal.aborted).to.equal(false);
    held.close(true);
    lost.close(false);
    expect(probes).to.be.greaterThan(0);
  });
});
