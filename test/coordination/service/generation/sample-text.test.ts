/** Guards against samples that are finished but too large to be listed in one transaction of the store. */
import { expect } from 'chai';
import { SampleText } from '../../../../src/coordination/service/generation/sample-text.js';

/** Largest text whose result, as JSON in base64, fits into a transaction of 1 MB. */
const MAX_JSON_BYTES = 600_000;
const EVENT_LETTERS = 1_000;

/** Number of events of `letter` until a text is too large. */
function eventsUntilTooLarge(letter: string): number {
  const text = new SampleText();
  while (!text.isTooLarge) text.append(String(text.eventCount), letter.repeat(EVENT_LETTERS), 1);
  return text.eventCount;
}

describe('SampleText', () => {
  for (const { letter, jsonBytes } of [
    { letter: 'a', jsonBytes: 1 },
    { letter: 'ي', jsonBytes: 2 },
    { letter: '語', jsonBytes: 3 },
    { letter: '"', jsonBytes: 2 },
    { letter: '\u0001', jsonBytes: 6 },
  ])
    it(`is limited by its bytes as JSON: ${JSON.stringify(letter)}`, () => {
      const events = MAX_JSON_BYTES / (EVENT_LETTERS * jsonBytes);
      expect(eventsUntilTooLarge(letter)).to.be.within(events * 0.99, events + 1);
    });
});
