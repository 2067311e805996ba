/** Which requests a node takes while it drains: those alone that it certainly answers before it exits. */
import { expect } from 'chai';
import { monotonicMs } from '../../../src/common/clock.js';
import { drainDeadlines } from '../../../src/node/service/drain.js';
import { OpenRequests } from '../../../src/node/service/open-requests.js';

const GRACE_MS = 8_000;
const CONNECTIONS = { hasUnsentBytes: false, closeIdleConnections: () => {} };

/** The requests of a node that got its signal `agoMs` ago. */
function stoppedAgo(agoMs: number, graceMs = GRACE_MS): OpenRequests {
  const requests = new OpenRequests();
  requests.beginDrain(drainDeadlines(monotonicMs() - agoMs, graceMs));
  return requests;
}

function admitsWithin(requests: OpenRequests, remainingMs: number): boolean {
  return requests.admits(monotonicMs() + remainingMs);
}

describe('OpenRequests', () => {
  it('takes every request of a node that does not drain', () => {
    expect(admitsWithin(new OpenRequests(), Number.POSITIVE_INFINITY)).to.equal(true);
    expect(new OpenRequests().timeLeftMs).to.equal(Number.POSITIVE_INFINITY);
  });

  it('takes every request until load balancers have noticed the drain', () => {
    expect(admitsWithin(stoppedAgo(2_500), 60_000)).to.equal(true);
  });

  it('takes only requests that end in time afterwards', () => {
    const requests = stoppedAgo(3_100);
    expect(admitsWithin(requests, 3_000)).to.equal(true);
    expect(admitsWithin(requests, 5_000)).to.equal(false);
  });

  it('takes none too late where the grace time is shorter than load balancers need', () => {
    const requests = stoppedAgo(1_500, 2_000);
    expect(admitsWithin(requests, 200)).to.equal(true);
    expect(admitsWithin(stoppedAgo(1_850, 2_000), 200)).to.equal(false);
  });

  it('takes none once it has finished, and tells open ones to end', async () => {
    const requests = stoppedAgo(7_100);
    let isEnded = false;
    const open = requests.track(async () => {
      await new Promise((resolve) => requests.ending.addEventListener('abort', resolve));
      isEnded = true;
    });
    await requests.finish(drainDeadlines(monotonicMs() - 7_100, GRACE_MS), CONNECTIONS);
    await open;
    expect(isEnded).to.equal(true);
    expect(requests.endedEarlyCount).to.equal(1);
    expect(admitsWithin(requests, 0)).to.equal(false);
  });
});
