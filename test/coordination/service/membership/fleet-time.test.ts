/** Time of day as the fleet sees it: no single clock decides it. */
import { expect } from 'chai';
import { FleetTime } from '../../../../src/coordination/service/membership/fleet-time.js';

describe("the fleet's time of day", () => {
  const DAY_MS = 1_700_000_000_000;
  let storeMs: number;
  let ownMs: number;
  let time: FleetTime;

  beforeEach(() => {
    storeMs = 5_000;
    ownMs = DAY_MS;
    time = new FleetTime({ nowMs: () => storeMs }, () => ownMs);
  });

  it("is this node's own as long as no other is known, also while the store's clock is not", () => {
    expect(time.now()).to.equal(DAY_MS);
    storeMs += 3_600_000;
    expect(time.now()).to.equal(DAY_MS);
  });

  it('is that of the median node, however far a few clocks are off', () => {
    const offset = DAY_MS - storeMs;
    time.setNodeOffsets([offset + 3, offset - 8_000, offset, offset + 90_000, offset - 2]);
    ownMs -= 8_000;
    expect(time.now()).to.equal(DAY_MS);
    storeMs += 250;
    expect(time.now()).to.equal(DAY_MS + 250);
  });

  it('stays as it is when no node says anything', () => {
    time.setNodeOffsets([DAY_MS - storeMs + 7]);
    time.setNodeOffsets([]);
    expect(time.now()).to.equal(DAY_MS + 7);
  });
});
