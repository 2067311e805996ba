/** How often a request is counted for its tenant, whatever its attempts report and when. */
import { expect } from 'chai';
import { ExecutionCount } from '../../../../src/coordination/service/requests/execution-count.js';

describe('the count of executions of a request', () => {
  let counted: number;
  let executions: ExecutionCount;

  beforeEach(() => {
    counted = 0;
    executions = new ExecutionCount('tenant', () => {
      counted += 1;
      return () => {
        counted -= 1;
      };
    });
  });

  it('is one while any attempt may run, and none after all were declined', () => {
    const [first, second] = [executions.start(), executions.start()];
    executions.noteHandOver(first, true);
    expect(counted).to.equal(1);
    executions.noteEnded(first, true);
    expect(counted).to.equal(1);
    executions.noteEnded(second, true);
    expect(counted).to.equal(0);
  });

  it('stays one when a withdrawn attempt reports afterwards that it was declined, and another may have run', () => {
    const [handedOver, queued] = [executions.start(), executions.start()];
    executions.noteHandOver(handedOver, true);
    executions.withdrawQueued();
    expect(executions.attemptCount).to.equal(1);
    executions.noteEnded(queued, true);
    expect(executions.attemptCount).to.equal(1);
    expect(counted).to.equal(1);
  });
});
