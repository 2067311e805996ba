import { expect } from 'chai';
import fc from 'fast-check';
import {
  EventTranscript,
  TranscriptSizeError,
} from '../../../../src/coordination/resource/rollouts/event-transcript.js';

const event = (text: string, tokens: number, version: number, reason: string | null = null) =>
  `data: ${JSON.stringify({ id: 'r', text, tokens, weight_version: version, finish_reason: reason })}\n\n`;
const END = 'data: [DONE]\n\n';

/** Appends the bytes in pieces; returns the forwarded bytes. */
function feed(transcript: EventTranscript, bytes: Buffer, cuts: readonly number[]): Buffer {
  const places = [...new Set([0, ...cuts.map((cut) => cut % (bytes.length + 1)), bytes.length])].sort(
    (a, b) => a - b,
  );
  const passed = places.slice(1).map((end, index) => transcript.append(bytes.subarray(places[index], end)));
  return Buffer.concat(passed);
}

describe('EventTranscript', () => {
  const stream = Buffer.from(event('grüezi ', 2, 1) + event('مرحبا ', 3, 1) + event('x', 4, 2, 'stop') + END);

  it('yields the same bytes, text and segments for any split of the stream', () => {
    fc.assert(
      fc.property(fc.array(fc.nat()), (cuts) => {
        const transcript = new EventTranscript();
        transcript.beginPart('e1');
        expect(feed(transcript, stream, cuts).equals(stream)).to.equal(true);
        expect(transcript.isComplete).to.equal(true);
        const read = transcript.read()._unsafeUnwrap();
        expect(read.text).to.equal('grüezi مرحبا x');
        expect(read.segments).to.deep.equal([
          { version: 1, firstToken: 0, tokenCount: 5, engine: 'e1' },
          { version: 2, firstToken: 5, tokenCount: 4, engine: 'e1' },
        ]);
      }),
      { seed: 7 },
    );
  });

  it('bounds an event that never ends, and events without end', () => {
    const piece = Buffer.alloc(64 * 1024, 'x');
    const partial = new EventTranscript();
    partial.beginPart('e1');
    expect(() => {
      for (let count = 0; count < 64; count += 1) partial.append(piece);
    }).to.throw(TranscriptSizeError);
    const events = new EventTranscript();
    events.beginPart('e1');
    expect(() => {
      for (let count = 0; count < 600; count += 1) events.append(Buffer.concat([piece, Buffer.from('\n\n')]));
    }).to.throw(TranscriptSizeError);
  });

  it('reports completion only after the end-of-stream event', () => {
    fc.assert(
      fc.property(fc.integer({ min: 0, max: stream.length - 1 }), (cut) => {
        const transcript = new EventTranscript();
        transcript.beginPart('e1');
        feed(transcript, stream.subarray(0, cut), []);
        expect(transcript.isComplete).to.equal(false);
      }),
      { seed: 7 },
    );
  });

  it('continues with another engine after the last complete event and drops a partial one', () => {
    const transcript = new EventTranscript();
    transcript.beginPart('e1');
    transcript.append(Buffer.from(`${event('a', 1, 1)}data: {"id":`));
    transcript.beginPart('e2');
    transcript.append(Buffer.from(event('b', 1, 2, 'stop') + END));
    const read = transcript.read()._unsafeUnwrap();
    expect(read.text).to.equal('ab');
    expect(read.segments.map((segment) => [segment.engine, segment.version])).to.deep.equal([
      ['e1', 1],
      ['e2', 2],
    ]);
  });
});
