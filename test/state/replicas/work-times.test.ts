/** Usual times of kinds of requests, and what one request says of its replica. */
import { expect } from 'chai';
import { WorkTimes } from '../../../src/state/replicas/work-times.js';

describe('usual times of work', () => {
  it('are told apart by kind, so that a replica that is given long requests is not taken for slow', () => {
    const times = new WorkTimes();
    for (let count = 0; count < 50; count += 1) {
      times.note('short', 20, 1);
      times.note('long', 200, 1);
    }
    expect(times.usualMs('short')).to.be.closeTo(20, 0.1);
    expect(times.note('long', 200, 1)).to.be.closeTo(1, 0.01);
    expect(times.note('short', 200, 1)).to.be.closeTo(10, 0.1);
  });

  it('are those of a replica of usual speed, also while most are slow', () => {
    const times = new WorkTimes();
    times.note('short', 20, 1);
    for (let count = 0; count < 50; count += 1) times.note('short', 100, 5);
    expect(times.usualMs('short')).to.be.closeTo(20, 0.5);
  });

  it('are kept for a bounded number of kinds', () => {
    const times = new WorkTimes();
    for (let index = 0; index < 5_000; index += 1) times.note(`kind-${index}`, 20, 1);
    expect(times.usualMs('kind-4999')).to.equal(20);
    expect(times.usualMs('kind-1')).to.equal(50);
  });
});
