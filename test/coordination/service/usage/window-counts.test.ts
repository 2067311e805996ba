/** Completeness and totals of a usage window. */
import { expect } from 'chai';
import { missingNodes, sumByTenant } from '../../../../src/coordination/service/usage/window-counts.js';
import type { StoredCount } from '../../../../src/state/service/usage/index.js';

const closed = (window: number, node: string, counts: Record<string, number> = {}): StoredCount => ({
  window,
  node,
  counts,
  isClosed: true,
});

describe('missingNodes and sumByTenant', () => {
  it('lists running nodes until they have closed the window', () => {
    const counts = [closed(5, 'a'), closed(5, 'b'), closed(6, 'a')];
    expect(missingNodes(counts, 6)).to.deep.equal(['b']);
    expect(missingNodes([...counts, { ...closed(6, 'b'), isClosed: false }], 6)).to.deep.equal(['b']);
    expect(missingNodes([...counts, closed(6, 'b')], 6)).to.deep.equal([]);
  });

  it('lists a node that missed one window, but not one that missed two', () => {
    const cutOff = [closed(4, 'a'), closed(4, 'b'), closed(5, 'a'), closed(6, 'a')];
    expect(missingNodes(cutOff, 6)).to.deep.equal(['b']);
    expect(missingNodes([...cutOff, closed(7, 'a')], 7)).to.deep.equal([]);
  });

  it('sums the counts of all processes of a node and of new nodes', () => {
    const counts = [
      closed(6, 'a', { y: 1, x: 2 }),
      { ...closed(6, 'a', { x: 3 }), isClosed: false },
      closed(6, 'c', { z: 4 }),
      closed(5, 'a', { x: 9 }),
    ];
    expect(JSON.stringify(sumByTenant(counts, 6))).to.equal('{"x":5,"y":1,"z":4}');
  });
});
