/** Guards against a single wrong clock that moves the time of day of the fleet. */
import { expect } from 'chai';
import { FleetTime } from '../../../../src/coordination/service/membership/fleet-time.js';

describe('FleetTime', () => {
  const DAY_MS = 1_700_000_000_000;
  let storeMs: number;
  let ownMs: number;
  let time: FleetTime;

  beforeEach(() => {
    storeMs = 5_000;
    ownMs = DAY_MS;
    time = new FleetTime({ nowMs: () => storeMs }, () => ownMs);
  });

  it("returns the local time of day until offsets are known, whatever the store's clock does", () => {
    expect(time.now()).to.equal(DAY_MS);
    storeMs += 3_600_000;
    expect(time.now()).to.equal(DAY_MS);
  });

  it('uses the median offset, however far a few clocks are off', () => {
    const offset = DAY_MS - storeMs;
    time.setNodeOffsets([offset + 3, offset - 8_000, offset, offset + 90_000, offset - 2]);
    ownMs -= 8_000;
    expect(time.now()).to.equal(DAY_MS);
    storeMs += 250;
    expect(time.now()).to.equal(DAY_MS + 250);
  });

  it('keeps the last median when no offsets are given', () => {
    time.setNodeOffsets([DAY_MS - storeMs + 7]);
    time.setNodeOffsets([]);
    expect(time.now()).to.equal(DAY_MS + 7);
  });
});
