/** Time that passes on a machine that may be suspended, and whose time of day may be set. */
import { expect } from 'chai';
import { startStopwatch } from '../../src/common/elapsed-time.js';

describe('time that a right takes as passed', () => {
  const clocks = { monotonic: 0, timeOfDay: 0 };
  const start = () =>
    startStopwatch({ monotonicMs: () => clocks.monotonic, timeOfDayMs: () => clocks.timeOfDay });
  const advance = (monotonic: number, timeOfDay: number) => {
    clocks.monotonic += monotonic;
    clocks.timeOfDay += timeOfDay;
  };

  it('is what both clocks show while nothing happens', () => {
    const elapsed = start();
    advance(100, 99);
    expect(elapsed()).to.equal(100);
  });

  it('counts a suspension, which the monotonic clock does not', () => {
    const elapsed = start();
    advance(10, 3_010);
    expect(elapsed()).to.equal(3_010);
  });

  it('is in doubt after the time of day was set back, and longer after it was set forward', () => {
    const back = start();
    advance(100, -2_400);
    expect(back()).to.equal(Number.POSITIVE_INFINITY);
    const forward = start();
    advance(100, 2_500);
    expect(forward()).to.equal(2_500);
  });
});
