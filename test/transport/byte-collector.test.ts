import { expect } from 'chai';
import fc from 'fast-check';
import { ByteCollector } from '../../src/transport/byte-collector.js';

/** Largest chunk, bytes: larger than a block. */
const LARGEST_CHUNK = 40_000;

describe('ByteCollector', () => {
  it('returns the chunks in their order, whatever their sizes are', () => {
    const size = fc.oneof(fc.nat(3), fc.integer({ min: 4_000, max: 4_200 }), fc.nat(LARGEST_CHUNK));
    fc.assert(
      fc.property(fc.array(size, { maxLength: 40 }), (sizes) => {
        const chunks = sizes.map((bytes, index) => Buffer.alloc(bytes, index));
        const collector = new ByteCollector();
        for (const chunk of chunks) collector.add(chunk);
        expect(collector.concat().equals(Buffer.concat(chunks))).to.equal(true);
      }),
      { seed: 5 },
    );
  });
});
