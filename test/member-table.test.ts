/** Precedence of membership records, refutation, and rumours that stop. */
import { expect } from 'chai';
import type { MemberRecord } from '../src/protocol/peer.js';
import { MemberTable } from '../src/state/member-table.js';

const record = (id: string, incarnation: number, state: MemberRecord['state']): MemberRecord => ({
  id,
  address: `http://${id}`,
  zone: 'z',
  machine: '',
  incarnation,
  state,
});

describe('the member table', () => {
  it('takes the newer incarnation, and within one the worse state, in whichever order they come', () => {
    const records = [
      record('b', 1, 'dead'),
      record('b', 2, 'alive'),
      record('b', 1, 'alive'),
      record('b', 2, 'suspect'),
    ];
    for (const order of [records, [...records].reverse()]) {
      const table = new MemberTable(record('a', 1, 'alive'));
      for (const one of order) table.merge(one);
      expect(table.get('b')).to.include({ incarnation: 2, state: 'suspect' });
    }
  });

  it('refutes a rumour that this node is gone by a larger incarnation', () => {
    const table = new MemberTable(record('a', 5, 'alive'));
    table.merge(record('a', 5, 'dead'));
    expect(table.own).to.include({ incarnation: 6, state: 'alive' });
    expect(table.takeRumours().map((one) => one.id)).to.include('a');
  });

  it('keeps unreachable members in the electorate, but not those that left', () => {
    const table = new MemberTable(record('a', 1, 'alive'));
    table.merge(record('b', 1, 'dead'));
    table.merge(record('c', 1, 'left'));
    expect(table.electorate().map((one) => one.id)).to.deep.equal(['a', 'b']);
    expect(table.others()).to.deep.equal([]);
  });

  it('stops its rumours after several members hold the same records, and starts again on news', () => {
    const table = new MemberTable(record('a', 1, 'alive'));
    table.merge(record('b', 1, 'alive'));
    for (let round = 0; round < 4; round += 1) table.noteDigest(table.digest());
    expect(table.takeRumours()).to.deep.equal([]);
    table.merge(record('c', 1, 'alive'));
    expect(table.takeRumours().map((one) => one.id)).to.deep.equal(['c']);
    expect(table.hasDisagreement).to.equal(true);
  });
});
