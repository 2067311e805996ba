/** The comparison of two versions: figures read from the bench's table, an interval that tells a change from luck. */
import { expect } from 'chai';
import { compare, type Pair, worthOf } from '../../bench/compare.js';

function pairs(differences: readonly number[]): Pair[] {
  return differences.map((difference, index) => ({
    day: 'quiet-1',
    seed: index,
    before: 0.8,
    after: 0.8 + difference,
  }));
}

describe('comparison of two versions', () => {
  it('reads the worth of a day from its table', () => {
    const table =
      'day                  own/srv  score  worth served\nquiet-1                12/11   0.73  0.920  1.000   0.000\n';
    expect(worthOf(table)).to.equal(0.92);
    expect(worthOf('the day was given up\n')).to.equal(undefined);
  });

  it('has an interval above 0 for a change that all pairs show', () => {
    const found = compare(pairs([0.02, 0.03, 0.025, 0.04, 0.03]));
    expect(found.medianDifference).to.be.closeTo(0.03, 1e-9);
    expect(found.from).to.be.greaterThan(0);
    expect(compare(pairs([0.02, 0.03, 0.025, 0.04, 0.03]))).to.deep.equal(found);
  });

  it('has an interval around 0 for luck', () => {
    const found = compare(pairs([-0.03, 0.02, 0.03, -0.02, 0.01]));
    expect(found.from).to.be.lessThan(0);
    expect(found.to).to.be.greaterThan(0);
  });
});
