import { expect } from 'chai';
import { ClockOffset } from '../../src/common/clock-offset.js';

describe('ClockOffset', () => {
  let nowMs: number;
  let offset: ClockOffset;

  beforeEach(() => {
    nowMs = 1_000;
    offset = new ClockOffset(() => nowMs);
  });

  /** An answer whose remote time is `readBeforeMs` old when it arrives. */
  const receive = (trueOffsetMs: number, readBeforeMs: number, roundTripMs: number) =>
    offset.record(nowMs + trueOffsetMs - readBeforeMs, nowMs - roundTripMs);

  it('has no estimate before the first answer', () => {
    expect(offset.bounds).to.equal(undefined);
  });

  it('bounds the offset by the answers with the smallest delays', () => {
    receive(500, 80, 160);
    receive(500, 3, 7);
    receive(500, 200, 1_200);
    expect(offset.bounds).to.deep.equal({ leastMs: 497, mostMs: 504 });
  });

  it('contains the offset also when all answers are slow', () => {
    for (const delayMs of [700, 300, 550]) receive(500, delayMs, 800);
    expect(offset.bounds?.leastMs).to.equal(200);
    expect(offset.bounds?.mostMs).to.equal(600);
  });

  it('follows a local clock that runs faster than the remote one', () => {
    for (let minute = 0; minute < 1_000; minute += 1) {
      nowMs += 30_000;
      offset.record(nowMs * 0.9999, nowMs - 4);
    }
    expect(nowMs + (offset.bounds?.leastMs ?? 0)).to.be.closeTo(nowMs * 0.9999, 20);
  });

  it('keeps the last estimate while the remote side does not answer', () => {
    receive(500, 0, 0);
    nowMs += 600_000;
    expect(offset.bounds).to.deep.equal({ leastMs: 500, mostMs: 500 });
  });
});
