import { expect } from 'chai';
import { ClockOffset } from '../../src/common/clock-offset.js';

describe('ClockOffset', () => {
  let nowMs: number;
  let offset: ClockOffset;

  beforeEach(() => {
    nowMs = 1_000;
    offset = new ClockOffset(() => nowMs);
  });

  it('has no estimate before the first answer', () => {
    expect(offset.offsetMs).to.equal(undefined);
  });

  it('uses the answer with the smallest delay', () => {
    offset.record(1_500 - 80);
    offset.record(1_500 - 3);
    offset.record(1_500 - 200);
    expect(offset.offsetMs).to.equal(497);
  });

  it('follows a local clock that runs faster than the remote one', () => {
    for (let minute = 0; minute < 1_000; minute += 1) {
      nowMs += 30_000;
      offset.record(nowMs * 0.9999);
    }
    expect(nowMs + (offset.offsetMs ?? 0)).to.be.closeTo(nowMs * 0.9999, 20);
  });

  it('keeps the last estimate while the remote side does not answer', () => {
    offset.record(1_500);
    nowMs += 600_000;
    expect(offset.offsetMs).to.equal(500);
  });
});
