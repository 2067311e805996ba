/** A request is counted exactly once for its tenant, in whichever order its attempts report. */
import { expect } from 'chai';
import { ExecutionTracker } from '../../../../src/coordination/service/requests/execution-tracker.js';

describe('ExecutionTracker', () => {
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

  it('counts one execution while any attempt may run, and none after all were declined', () => {
    const [first, second] = [tracker.start(), tracker.start()];
    tracker.recordHandOver(first, true);
    expect(countedExecutions).to.equal(1);
    tracker.recordOutcome(first, true);
    expect(countedExecutions).to.equal(1);
    tracker.recordOutcome(second, true);
    expect(countedExecutions).to.equal(0);
  });

  it('still counts one execution when a cancelled attempt is declined later and another may have run', () => {
    const [handedOver, queued] = [tracker.start(), tracker.start()];
    tracker.recordHandOver(handedOver, true);
    tracker.cancelQueued();
    expect(tracker.attemptCount).to.equal(1);
    tracker.recordOutcome(queued, true);
    expect(tracker.attemptCount).to.equal(1);
    expect(countedExecutions).to.equal(1);
  });
});
