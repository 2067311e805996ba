/** How often a request is counted for its tenant, whatever its attempts report and when. */
import { expect } from 'chai';
import { ExecutionTracker } from '../../../../src/coordination/service/requests/execution-count.js';

describe('the count of executions of a request', () => {
  let countedExecutions: number;
  let tracker: ExecutionTracker;

  beforeEach(() => {
    countedExecutions = 0;
    tracker = new ExecutionTracker('tenant', () => {
      countedExecutions += 1;
      return () => {
        countedExecutions -= 1;
      };
    });
  });

  it('is one while any attempt may run, and none after all were declined', () => {
    const [first, second] = [tracker.start(), tracker.start()];
    tracker.recordHandOver(first, true);
    expect(countedExecutions).to.equal(1);
    tracker.recordOutcome(first, true);
    expect(countedExecutions).to.equal(1);
    tracker.recordOutcome(second, true);
    expect(countedExecutions).to.equal(0);
  });

  it('stays one when a withdrawn attempt reports afterwards that it was declined, and another may have run', () => {
    const [handedOver, queued] = [tracker.start(), tracker.start()];
    tracker.recordHandOver(handedOver, true);
    tracker.cancelQueued();
    expect(tracker.attemptCount).to.equal(1);
    tracker.recordOutcome(queued, true);
    expect(tracker.attemptCount).to.equal(1);
    expect(countedExecutions).to.equal(1);
  });
});
