/**
 * Length estimates of samples: the order in which items start, and the remaining length of a running sample.
 */
import { expect } from 'chai';
import { LengthEstimator } from '../../../../src/coordination/service/generation/length-estimator.js';
import type { JobItem } from '../../../../src/protocol/service/batch-job.js';

const TOKENS_PER_EVENT = 52;

function item(id: string, group: string, expectedTokens?: number): JobItem {
  return {
    id,
    path: '/',
    headers: {},
    body: Buffer.alloc(0),
    tokens: 0,
    expectedTokens,
    group,
    scoring: undefined,
  };
}

const sample = (estimatedEvents: number) => item('a1', 'a', estimatedEvents * TOKENS_PER_EVENT);
const idsOf = (items: readonly JobItem[]) => items.map(({ id }) => id);

describe('LengthEstimator', () => {
  it('sorts the longest sample first, regardless of its group', () => {
    const items = [item('a1', 'a', 10), item('a2', 'a', 30), item('b1', 'b', 50), item('b2', 'b', 5)];
    expect(idsOf(new LengthEstimator().sortLongestFirst(items))).to.deep.equal(['b1', 'a2', 'a1', 'b2']);
  });

  it('keeps the order of submission without estimates', () => {
    const unknown = [item('a1', 'a'), item('b1', 'b'), item('a2', 'a')];
    expect(idsOf(new LengthEstimator().sortLongestFirst(unknown))).to.deep.equal(['a1', 'b1', 'a2']);
  });

  it('expects a cancelled sample to exceed the length that it had reached', () => {
    const lengths = new LengthEstimator();
    const items = [item('a1', 'a', 9 * TOKENS_PER_EVENT), item('b1', 'b', 5 * TOKENS_PER_EVENT)];
    lengths.recordFinished(item('c1', 'c', 10 * TOKENS_PER_EVENT), 10);
    expect(idsOf(lengths.sortLongestFirst(items))).to.deep.equal(['a1', 'b1']);
    lengths.recordUnfinished(items[1] as JobItem, 100);
    expect(idsOf(lengths.sortLongestFirst(items))).to.deep.equal(['b1', 'a1']);
    expect(lengths.remainingEvents(items[1] as JobItem, 0)).to.equal(150);
  });

  it('derives the tokens per event, also from estimates that are five times too high', () => {
    for (const factor of [1, 5]) {
      const lengths = new LengthEstimator();
      for (let events = 10; events < 100; events += 1)
        lengths.recordFinished(sample(events * factor * (events % 2 === 0 ? 1.5 : 1 / 1.5)), events);
      expect(lengths.remainingEvents(sample(100 * factor), 20)).to.be.closeTo(80, 5);
    }
  });

  it('expects a sample beyond its estimate, or without one, to grow in proportion to its length', () => {
    const lengths = new LengthEstimator();
    expect(lengths.remainingEvents(item('a1', 'a'), 60)).to.equal(30);
    lengths.recordFinished(sample(10), 10);
    expect(lengths.remainingEvents(sample(10), 60)).to.equal(30);
  });
});
