/** Records that are no announcements, among those of nodes. */
import { expect } from 'chai';
import { FleetDirectory } from '../../../../src/coordination/service/membership/fleet-directory.js';
import {
  isExpired,
  NODE_TABLE,
  parseAnnouncement,
} from '../../../../src/coordination/service/membership/node-announcement.js';
import type { RecordStore, StoredRecord } from '../../../../src/protocol/record-store.js';
import { ODD_ADDRESSES, ODD_VALUES } from '../../../support/odd-records.js';

const NOW_MS = 1_000_000;
const VALID = {
  address: '10.0.0.1:80',
  peerAddress: '10.0.0.1:81',
  zone: 'z',
  capacity: 2,
  timeOffsetMs: 5,
  announcedAtMs: NOW_MS,
};
const bytes = (content: unknown) => Buffer.from(JSON.stringify(content), 'utf8');

describe('announcements of nodes', () => {
  it('are read with and without the optional fields, and with unknown ones', () => {
    const { peerAddress, zone, capacity, timeOffsetMs, ...early } = VALID;
    for (const content of [VALID, early, { ...VALID, later: { of: ['a', 'newer', 'build'] } }])
      expect(parseAnnouncement(bytes(content))._unsafeUnwrap()).to.deep.equal(content);
    expect([peerAddress, zone, capacity, timeOffsetMs]).to.have.length(4);
  });

  const wrong: readonly (readonly [name: string, value: Buffer])[] = [
    ...ODD_VALUES,
    ...ODD_ADDRESSES.filter((address) => !/^(host|1e9)/.test(address)).flatMap((address) => [
      [`the address ${address}`, bytes({ ...VALID, address })] as const,
      [`the peer address ${address}`, bytes({ ...VALID, peerAddress: address })] as const,
    ]),
    ['capacity 0', bytes({ ...VALID, capacity: 0 })],
    ['capacity 1e308', bytes({ ...VALID, capacity: 1e308 })],
    ['no time', bytes({ ...VALID, announcedAtMs: null })],
  ];
  for (const [name, value] of wrong)
    it(`are no records with ${name}`, () => {
      expect(parseAnnouncement(value)._unsafeUnwrapErr().length).to.be.within(1, 200);
    });

  it('are expired when their time is far ahead, so that no odd record stays in the fleet', () => {
    expect(isExpired({ ...VALID, announcedAtMs: 1e15 }, NOW_MS)).to.equal(true);
    expect(isExpired({ ...VALID, announcedAtMs: NOW_MS + 5_000 }, NOW_MS)).to.equal(false);
  });

  it('keep the members of the fleet known, whatever stands among them', () => {
    const reported: string[] = [];
    const store = { nowMs: () => NOW_MS } as RecordStore;
    const fleet = new FleetDirectory(store, ({ key }) => reported.push(key));
    const record = (key: string, value: Buffer): StoredRecord => ({
      table: NODE_TABLE,
      partition: '',
      key,
      value,
      version: 1,
    });
    const odd = ODD_VALUES.map(([name, value]) => record(name, value));
    fleet.replaceAll([...odd, record('node-1', bytes(VALID))]);
    expect(fleet.members.map(({ name }) => name)).to.deep.equal(['node-1']);
    for (const change of odd) fleet.apply(change);
    fleet.apply(record('node-2', bytes(VALID)));
    expect(fleet.members.map(({ name }) => name)).to.deep.equal(['node-1', 'node-2']);
    expect(reported).to.have.length(2 * odd.length);
    fleet.apply(record('node-1', Buffer.from('null')));
    expect(fleet.members.map(({ name }) => name)).to.deep.equal(['node-2']);
    fleet.apply(record('node-1', bytes(VALID)));
    expect(fleet.members).to.have.length(2);
  });
});
