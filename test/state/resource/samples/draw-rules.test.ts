import { expect } from 'chai';
import type { DrawRequest } from '../../../../src/protocol/resource/trainer.js';
import {
  type Candidate,
  cursorConflict,
  type DrawOptions,
  type DrawState,
  INITIAL_CURSOR,
  selectSamples,
} from '../../../../src/state/resource/samples/draw-rules.js';
import type { CursorRow, ReadySample } from '../../../../src/state/resource/samples/ledger-rows.js';

const TERMS: DrawOptions = { trainer: 't', models: ['m'], stalenessBound: 2, batchSize: 8 };
const STATE: DrawState = {
  cursorRow: undefined,
  cursorVersion: 0,
  newest: new Map([['m', 10]]),
  publishedConditions: [],
};

function sample(sampleId: string, oldestVersion: number, rolloutId = 'open'): ReadySample {
  return {
    sampleId,
    rolloutId,
    slot: 0,
    generation: 0,
    shard: 0,
    model: 'm',
    oldestVersion,
    contentDigest: '',
    object: '',
    position: 0,
    slotVersion: 1,
    expired: [],
  };
}

function cursorRow(change: Partial<CursorRow>): CursorRow {
  return {
    ...INITIAL_CURSOR,
    cursor: 3,
    sequence: 5,
    attempt: 2,
    digest: 'd',
    samples: [sample('s', 10)],
    ...change,
  };
}

function request(change: Partial<DrawRequest>): DrawRequest {
  return { cursor: 4, sequence: 6, versions: {}, ...change };
}

describe('selectSamples', () => {
  it('selects up to the limit, discards expired and cancelled samples, and leaves the rest ready', () => {
    const samples = [
      sample('a', 8),
      sample('old', 7),
      sample('cancelled', 10, 'x'),
      sample('b', 10),
      sample('c', 10),
    ];
    const candidates: Candidate[] = samples.map((one) => ({ sample: one }));
    const { chosen, discarded } = selectSamples(TERMS, STATE, candidates, (id) => id === 'open', 2);
    expect(chosen.map((one) => one.sample.sampleId)).to.deep.equal(['a', 'b']);
    expect(discarded.map((one) => [one.sample.sampleId, one.reason])).to.deep.equal([
      ['old', 'too-old'],
      ['cancelled', 'rollout-cancelled'],
    ]);
  });
});

describe('cursorConflict', () => {
  const allowed: readonly [string, CursorRow, DrawRequest][] = [
    [
      'the current cursor while its batch is not acknowledged',
      cursorRow({ acknowledged: false }),
      request({ cursor: 3 }),
    ],
    ['the next cursor after an acknowledgement', cursorRow({ acknowledged: true }), request({})],
    ['the next cursor after an empty batch', cursorRow({ acknowledged: false, samples: [] }), request({})],
    [
      'the next cursor with an acknowledgement of the current attempt',
      cursorRow({ acknowledged: false }),
      request({ previous: { attempt: 2, digest: 'd' } }),
    ],
  ];
  for (const [title, row, draw] of allowed)
    it(`accepts ${title}`, () => {
      expect(cursorConflict(row, draw)).to.equal(undefined);
    });

  const rejected: readonly [string, CursorRow, DrawRequest, number][] = [
    [
      'the current cursor after its batch was acknowledged',
      cursorRow({ acknowledged: true }),
      request({ cursor: 3 }),
      4,
    ],
    ['the next cursor without an acknowledgement', cursorRow({ acknowledged: false }), request({}), 3],
    [
      'the next cursor with an acknowledgement of a superseded attempt',
      cursorRow({ acknowledged: false }),
      request({ previous: { attempt: 1, digest: 'd' } }),
      3,
    ],
    ['a cursor beyond the next one', cursorRow({ acknowledged: true }), request({ cursor: 5 }), 4],
    ['an earlier sequence', cursorRow({ acknowledged: false }), request({ cursor: 3, sequence: 4 }), 5],
  ];
  for (const [title, row, draw, current] of rejected)
    it(`rejects ${title}`, () => {
      const conflict = cursorConflict(row, draw);
      expect(conflict?.failure).to.equal('conflict');
      expect(conflict?.versions?.current).to.equal(current);
    });
});
