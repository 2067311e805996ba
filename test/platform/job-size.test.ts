import { expect } from 'chai';
import fc from 'fast-check';
import { parseSubmission, submissionBytes } from '../../platform/job-bodies.js';
import { measureJson } from '../../src/common/json-size.js';

const ITEMS = 20_000;

function* containersOf(value: unknown, level = 1): Iterable<number> {
  if (typeof value !== 'object' || value === null) return;
  yield level;
  for (const member of Object.values(value)) yield* containersOf(member, level + 1);
}

describe('The size of a submission', () => {
  it('is measured as its parsed values are, whatever its texts hold', () => {
    const text = fc.string({ unit: fc.constantFrom('"', '\\', '{', ']', ',', 'a', 'ä', '\n') });
    fc.assert(
      fc.property(fc.jsonValue({ maxDepth: 6 }), fc.array(text), (value, texts) => {
        const json = { value, texts };
        const levels = [...containersOf(json)];
        const size = measureJson(Buffer.from(JSON.stringify(json)));
        expect(size.containers).to.equal(levels.length);
        expect(size.depth).to.equal(Math.max(...levels));
      }),
      { seed: 71 },
    );
  });

  it('is within the limits for a job of 20,000 items', () => {
    const scorer = { id: 'score', host: 'service.example', path: '/score/x', body: '3q2+7w==' };
    const headers = { model: 'model-a', 'token-usage': '540,400', 'prompt-prefix': '9c2e41:300,5d07b8:240' };
    const item = { path: '/jobs/item', headers, body: 'q83vEjRWeJA=', tokens: 940, group: 'group', scorer };
    const items = Array.from({ length: ITEMS }, (_, index) => ({ id: `item-${index}`, ...item }));
    const body = Buffer.from(JSON.stringify({ step: 1, model: 'model-a', minVersion: 1, items }));
    expect(submissionBytes(body).isOk()).to.equal(true);
    expect(parseSubmission(body).map(({ items: parsed }) => parsed.length)).to.have.property('value', ITEMS);
  });

  for (const [name, text] of [
    ['many values', `{"items":[${'[],'.repeat(1_000_000)}[]]}`],
    ['many levels', '['.repeat(1_000)],
  ])
    it(`is beyond the limits with ${name}`, () => {
      expect(submissionBytes(Buffer.from(text as string)).isErr()).to.equal(true);
    });
});
