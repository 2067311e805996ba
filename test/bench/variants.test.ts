/** Variants of site files: each changes what it names and nothing else. */
import { expect } from 'chai';
import { VARIANTS, vary } from '../../bench/variants.js';

const SITE = [
  'services = [',
  '  { name = "a", model = "llm", servers = [{ zone = "x", count = 3 }, { zone = "y", count = 2 }], slots = 12 },',
  '  { name = "b", servers = [{ zone = "x", count = 1 }], slots = 6 },',
  ']',
  'classes = [{ pieces = { mean = 22.8, max = 165.0, tail = 0.08, tail_x = 5.0 }, hint = 0.5 }, lot = { groups = 56, size = 4 }]',
].join('\n');

const variant = (name: string) =>
  vary(SITE, VARIANTS.find((one) => one.name === name) as (typeof VARIANTS)[0]);

describe('variants of a site file', () => {
  it('change the replicas of the model service alone', () => {
    expect(variant('many-replicas')).to.equal(
      SITE.replace('count = 3', 'count = 5').replace('count = 2', 'count = 5'),
    );
  });

  it('take the estimates away, or let them be far off', () => {
    expect(variant('no-estimates')).to.equal(SITE.replace(', hint = 0.5', ''));
    expect(variant('wild-estimates')).to.equal(SITE.replace('hint = 0.5', 'hint = 1.6'));
  });

  it('are none where there is nothing to change', () => {
    for (const one of VARIANTS) {
      expect(vary(SITE, one), one.name).to.not.equal(SITE);
      expect(vary('', one), one.name).to.equal(undefined);
    }
  });
});
