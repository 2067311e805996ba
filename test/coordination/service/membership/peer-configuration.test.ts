import { expect } from 'chai';
import { PeerConfiguration } from '../../../../src/coordination/service/membership/peer-configuration.js';
import type { PeerConfigurationAnswer } from '../../../../src/protocol/service/configuration-peer.js';
import { ManualClock } from '../../../support/manual-clock.js';

const LONG_MS = 10_000;

describe('PeerConfiguration', () => {
  let clock: ManualClock;
  let controller: AbortController;
  let isStoreAnswering: boolean;
  let isFeedCurrent: boolean;
  let answers: Record<string, PeerConfigurationAnswer>;
  let requested: string[];
  let applied: string[];
  let rejections: number;
  let peer: PeerConfiguration;

  beforeEach(() => {
    clock = new ManualClock(() => 0.5);
    controller = new AbortController();
    isStoreAnswering = false;
    isFeedCurrent = true;
    answers = { a: { kind: 'unavailable' }, b: { kind: 'same' } };
    requested = [];
    applied = [];
    rejections = 0;
    peer = new PeerConfiguration(
      {
        isStoreAnswering: () => isStoreAnswering,
        isFeedCurrent: () => isFeedCurrent,
        peers: () => Object.keys(answers),
        version: () => 7,
        fetch: async (address) => {
          requested.push(address);
          return answers[address] as PeerConfigurationAnswer;
        },
        apply: (value) => applied.push(value.toString()),
        onRejectedByStore: () => {
          rejections += 1;
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

  it('queries peers one after the other until one reaches the store, whose confirmation expires', async () => {
    await run(0);
    expect(requested).to.deep.equal(['a', 'b']);
    expect(peer.isConfirmed).to.equal(true);
    answers = { a: { kind: 'unavailable' } };
    await clock.advance(LONG_MS);
    expect(peer.isConfirmed).to.equal(false);
  });

  it('applies a newer configuration', async () => {
    answers = { a: { kind: 'newer', value: Buffer.from('record') }, b: { kind: 'same' } };
    await run(0);
    expect(applied).to.deep.equal(['record']);
    expect(requested).to.deep.equal(['a']);
  });

  it('queries no peer while the store reports changes', async () => {
    isStoreAnswering = true;
    await run(LONG_MS);
    expect(requested).to.deep.equal([]);
    expect(peer.isConfirmed).to.equal(false);
  });

  it('queries peers when the store answers without reporting changes, and does not count as rejected', async () => {
    isStoreAnswering = true;
    isFeedCurrent = false;
    answers = { a: { kind: 'newer', value: Buffer.from('record') } };
    await run(LONG_MS);
    expect(applied.at(0)).to.equal('record');
    expect(peer.isConfirmed).to.equal(true);
    expect(rejections).to.equal(0);
    isFeedCurrent = true;
    const requestsBefore = requested.length;
    await clock.advance(LONG_MS);
    expect(requested.length).to.equal(requestsBefore);
  });

  it('counts as rejected by the store in the second round, and not after a pause that ends before', async () => {
    await run(0);
    expect(rejections).to.equal(0);
    isStoreAnswering = true;
    await clock.advance(LONG_MS);
    isStoreAnswering = false;
    await clock.advance(400);
    expect(rejections).to.equal(0);
    await clock.advance(400);
    expect(rejections).to.equal(1);
  });

  it('never counts as rejected by the store while no peer reaches it', async () => {
    answers = { a: { kind: 'unavailable' }, b: { kind: 'unavailable' } };
    await run(LONG_MS);
    expect(rejections).to.equal(0);
  });
});
