/** A lease must not outlive its validity when the machine is suspended or its wall clock is set. */
import { expect } from 'chai';
import { startStopwatch } from '../../src/common/elapsed-time.js';

describe('startStopwatch', () => {
  const clocks = { monotonic: 0, timeOfDay: 0 };
  const start = () =>
    startStopwatch({ monotonicMs: () => clocks.monotonic, timeOfDayMs: () => clocks.timeOfDay });
  const advance = (monotonic: number, timeOfDay: number) => {
    clocks.monotonic += monotonic;
    clocks.timeOfDay += timeOfDay;
  };

  it('returns the elapsed time while both clocks agree', () => {
    const elapsed = start();
    advance(100, 99);
    expect(elapsed()).to.equal(100);
  });

  it('includes the time of a suspension, which the monotonic clock omits', () => {
    const elapsed = start();
    advance(10, 3_010);
    expect(elapsed()).to.equal(3_010);
  });

  it('returns infinity after the wall clock was set back, and the longer time after it was set forward', () => {
    const back = start();
    advance(100, -2_400);
    expect(back()).to.equal(Number.POSITIVE_INFINITY);
    const forward = start();
    advance(100, 2_500);
    expect(forward()).to.equal(2_500);
  });
});
