/** What a node that does not reach the store learns from others. */
import { expect } from 'chai';
import { PeerConfiguration } from '../../../../src/coordination/service/membership/peer-configuration.js';
import type { PeerConfigurationAnswer } from '../../../../src/protocol/service/configuration-peer.js';
import { ManualClock } from '../../../support/manual-clock.js';

const LONG_MS = 10_000;

describe('a node that does not reach the store', () => {
  let clock: ManualClock;
  let controller: AbortController;
  let isInReach: boolean;
  let isFollowed: boolean;
  let answers: Record<string, PeerConfigurationAnswer>;
  let asked: string[];
  let taken: string[];
  let turnedAway: number;
  let peer: PeerConfiguration;

  beforeEach(() => {
    clock = new ManualClock(() => 0.5);
    controller = new AbortController();
    isInReach = false;
    isFollowed = true;
    answers = { a: { kind: 'unavailable' }, b: { kind: 'same' } };
    asked = [];
    taken = [];
    turnedAway = 0;
    peer = new PeerConfiguration(
      {
        isStoreAnswering: () => isInReach,
        isFollowed: () => isFollowed,
        peers: () => Object.keys(answers),
        version: () => 7,
        ask: async (address) => {
          asked.push(address);
          return answers[address] as PeerConfigurationAnswer;
        },
        take: (value) => taken.push(value.toString()),
        onRejectedByStore: () => {
          turnedAway += 1;
        },
        logger: { record: () => {} } as never,
      },
      clock,
    );
  });

  afterEach(() => controller.abort());

  async function run(ms: number): Promise<void> {
    void peer.run(controller.signal);
    await clock.advance(ms);
  }

  it('asks one peer after the other until one reaches the store, and is confirmed by it for a while', async () => {
    await run(0);
    expect(asked).to.deep.equal(['a', 'b']);
    expect(peer.isConfirmed).to.equal(true);
    answers = { a: { kind: 'unavailable' } };
    await clock.advance(LONG_MS);
    expect(peer.isConfirmed).to.equal(false);
  });

  it('takes over a newer configuration', async () => {
    answers = { a: { kind: 'newer', value: Buffer.from('record') }, b: { kind: 'same' } };
    await run(0);
    expect(taken).to.deep.equal(['record']);
    expect(asked).to.deep.equal(['a']);
  });

  it('asks no peer while the store reports changes to it', async () => {
    isInReach = true;
    await run(LONG_MS);
    expect(asked).to.deep.equal([]);
    expect(peer.isConfirmed).to.equal(false);
  });

  it('asks peers when the store answers and reports no changes, and does not count as rejected', async () => {
    isInReach = true;
    isFollowed = false;
    answers = { a: { kind: 'newer', value: Buffer.from('record') } };
    await run(LONG_MS);
    expect(taken.at(0)).to.equal('record');
    expect(peer.isConfirmed).to.equal(true);
    expect(turnedAway).to.equal(0);
    isFollowed = true;
    const before = asked.length;
    await clock.advance(LONG_MS);
    expect(asked.length).to.equal(before);
  });

  it('counts as rejected in the second round, not after a process pause that ends before', async () => {
    await run(0);
    expect(turnedAway).to.equal(0);
    isInReach = true;
    await clock.advance(LONG_MS);
    isInReach = false;
    await clock.advance(400);
    expect(turnedAway).to.equal(0);
    await clock.advance(400);
    expect(turnedAway).to.equal(1);
  });

  it('never counts as rejected while no peer reaches the store', async () => {
    answers = { a: { kind: 'unavailable' }, b: { kind: 'unavailable' } };
    await run(LONG_MS);
    expect(turnedAway).to.equal(0);
  });
});
