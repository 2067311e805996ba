/** The checks of configurations in a soak find what they are meant to find: each breach is made up, and named. */
import { expect } from 'chai';
import {
  configurationBreaches,
  type FaultSpan,
  type ProbeHistory,
  type WrittenConfiguration,
} from '../../bench/soak/index.js';

const BOUND_MS = 2_000;
const CONTACT_MS = 3_000;

function written(number: number, writtenAtMs: number): WrittenConfiguration {
  return {
    version: number + 1,
    writtenAtMs,
    addedPaths: new Set([`/added-${number}/`, `/added-${number - 1}/`]),
    movedTo: number % 2 === 0 ? 'first' : 'second',
  };
}

const WRITTEN = [written(0, 0), written(1, 10_000), written(2, 20_000)];

describe('checks of configurations in the soak', () => {
  let faults: FaultSpan[];
  let servedBy: Map<string, string>;
  let probes: ProbeHistory[];

  beforeEach(() => {
    faults = [];
    servedBy = new Map();
    probes = [];
  });

  function probe(atMs: number, path: string, status: number, fields: Partial<ProbeHistory> = {}): void {
    const id = `probe-${probes.length}`;
    const usual = { id, node: 'a', life: 'a/1', path, status };
    probes.push({ ...usual, askedAtMs: atMs, answeredAtMs: atMs + 10, ...fields });
  }

  const found = () =>
    configurationBreaches(probes, {
      written: WRITTEN,
      servedBy,
      faults,
      boundMs: BOUND_MS,
      contactMs: CONTACT_MS,
    });

  it('find nothing where each answer is allowed by a configuration that may be in force', () => {
    probe(9_000, '/added-0/', 200);
    probe(11_500, '/added-1/', 404);
    probe(11_700, '/added-1/', 200);
    probe(22_100, '/added-2/', 200);
    probe(22_200, '/added-0/', 404);
    probe(22_300, '/added-2/', 503);
    expect(found()).to.deep.equal([]);
  });

  it('find a route that is denied after its bound, unless the node or the store was in trouble', () => {
    probe(12_100, '/added-1/', 404);
    expect(found()).to.deep.equal([
      'a: 404 for /added-1/ at 12100 ms, only by a configuration older than number 1',
    ]);
    faults = [{ kind: 'node-freeze', nodes: ['b'], fromMs: 9_000, untilMs: 10_000 }];
    expect(found()).to.have.length(1);
    faults = [{ kind: 'store-reads-old', nodes: [], fromMs: 9_000, untilMs: 10_000 }];
    expect(found()).to.have.length(1);
    faults = [{ kind: 'node-freeze', nodes: ['a'], fromMs: 9_000, untilMs: 10_000 }];
    expect(found()).to.deep.equal([]);
    faults = [{ kind: 'store-silent', nodes: [], fromMs: 9_000, untilMs: 10_000 }];
    expect(found()).to.deep.equal([]);
  });

  it('find a dropped route that is served, and a moved one that runs at its old service', () => {
    probe(22_100, '/added-0/', 200);
    probe(12_100, '/moved/', 200);
    servedBy.set('probe-1', 'first');
    expect(found()).to.deep.equal([
      'a: 200 for /added-0/ at 22100 ms, only by a configuration older than number 2',
      'a: 200 for /moved/ at 12100 ms, only by a configuration older than number 1',
    ]);
  });

  it('find a process that goes back, also one in trouble, and not its successor', () => {
    faults = [{ kind: 'node-cut', nodes: ['a'], fromMs: 0, untilMs: 30_000 }];
    probe(10_500, '/added-1/', 200);
    probe(11_000, '/added-1/', 404);
    expect(found()).to.deep.equal(['a: 404 for /added-1/ at 11000 ms, after it had shown number 1']);
    probes[1] = { ...(probes[1] as ProbeHistory), life: 'a/2' };
    expect(found()).to.deep.equal([]);
  });

  it('find added routes that are refused', () => {
    for (let count = 0; count < 20; count += 1) probe(13_000 + count, '/added-1/', 503);
    expect(found()).to.deep.equal(['of 20 requests on added routes 0 were served']);
  });
});
