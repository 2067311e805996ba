/** Tests of average service times by kind. */
import { expect } from 'chai';
import { Random } from '../../../../src/common/random.js';
import { ReplicaState } from '../../../../src/state/service/replicas/replica-state.js';
import { ServiceTimes } from '../../../../src/state/service/replicas/service-times.js';
import { replicaWith } from '../../../support/replicas.js';

describe('ServiceTimes', () => {
  it('measures each kind separately, so that a replica with long requests does not count as slow', () => {
    const times = new ServiceTimes();
    for (let count = 0; count < 100; count += 1) {
      times.record('short', 20);
      times.record('long', 200);
    }
    expect(times.expectedMs('short')).to.be.closeTo(20, 0.1);
    expect(times.record('long', 200)).to.be.closeTo(1, 0.01);
    expect(times.record('short', 200)).to.be.closeTo(10, 0.1);
  });

  it('stays between the times of the fastest and the slowest replica', () => {
    const times = new ServiceTimes();
    const random = new Random(11);
    const speeds = [0.5, 1, 5, 5].map((slowdown, index) => ({
      slowdown,
      state: new ReplicaState(replicaWith({ id: `r${index}` })),
    }));
    for (let count = 0; count < 20_000; count += 1) {
      const { slowdown, state } = random.pick(speeds);
      state.recordLatencyRatio(times.record('short', 20 * slowdown * (0.5 + random.integer(100) / 100)));
    }
    expect(times.expectedMs('short')).to.be.within(10, 100);
    const [fast, , slowest] = speeds.map(({ state }) => state.latencyRatio);
    expect((slowest ?? 0) / (fast ?? 1)).to.be.within(6, 16);
  });

  it('recovers quickly from a long first request', () => {
    const times = new ServiceTimes();
    times.record('short', 3_000);
    for (let count = 0; count < 8; count += 1) times.record('short', 20);
    expect(times.expectedMs('short')).to.be.lessThan(60);
  });

  it('keeps a bounded number of kinds', () => {
    const times = new ServiceTimes();
    for (let index = 0; index < 5_000; index += 1) times.record(`kind-${index}`, 20);
    expect(times.expectedMs('kind-4999')).to.be.lessThan(50);
    expect(times.expectedMs('kind-1')).to.equal(50);
  });
});
