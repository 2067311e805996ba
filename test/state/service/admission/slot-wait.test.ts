/** Tests of the estimated wait for a slot. */
import { expect } from 'chai';
import { type RunningRequest, slotWaitMs } from '../../../../src/state/service/admission/slot-wait.js';

const NOW_MS = 10_000;
const WORK_MS = 50;

function request(elapsedMs: number): RunningRequest {
  return { sentAtMs: NOW_MS - elapsedMs, serviceTimeMs: WORK_MS };
}

function replica(slots: number, ...running: RunningRequest[]) {
  return { slots, running, runningCount: running.length };
}

describe('slotWaitMs', () => {
  it('assumes that the shortest of the overlong requests runs for as long again', () => {
    expect(slotWaitMs([replica(1, request(900))], NOW_MS)).to.equal(900);
    expect(slotWaitMs([replica(2, request(900), request(400)), replica(1, request(700))], NOW_MS)).to.equal(
      400,
    );
  });

  it('is 0 if a slot is free, may be held by other nodes, or runs a request within its expected time', () => {
    expect(slotWaitMs([], NOW_MS)).to.equal(0);
    expect(slotWaitMs([replica(2, request(900))], NOW_MS)).to.equal(0);
    expect(slotWaitMs([replica(1, request(900)), replica(1)], NOW_MS)).to.equal(0);
    expect(slotWaitMs([replica(2, request(900), request(WORK_MS))], NOW_MS)).to.equal(0);
  });
});
