/**
 * A short soak with a seed of its own: troubles of every kind beside each other, changes of the configuration among them. What
 * a longer one by hand finds stands in docs/design/soak.md.
 */
import { expect } from 'chai';
import { soak } from '../../bench/soak/index.js';

const SEED = 7_301;
const MINUTES = 0.75;
const LIMIT_MS = 300_000;

describe('a short soak', () => {
  it('finds no broken promise', async () => {
    const { summary, found } = await soak({ seed: SEED, minutes: MINUTES });
    expect(found, JSON.stringify(summary)).to.deep.equal([]);
    expect(summary.tellingProbes).to.be.greaterThan(0);
    expect(summary.wholeSteps).to.be.greaterThan(0);
  }).timeout(LIMIT_MS);
});
