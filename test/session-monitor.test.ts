/** Beats of holders and their loss, on a store that answers late or not at all. */
import { expect } from 'chai';
import { ok } from 'neverthrow';
import { SessionMonitor } from '../src/coordination/session-monitor.js';
import type { RecordStore, RecordTransaction } from '../src/protocol/record-store.js';
import { until } from './support/wait.js';

const SELF = { node: 'node-1', life: 'life-1' };
const HOLDER = { node: 'node-2', life: 'life-2' };
/** Observed time in which a holder that stopped must count as lost, milliseconds. */
const LOSS_MS = 1_600;

/** A store with one beat; transactions are counted and left without an answer. */
class BeatStore {
  readonly transactions: RecordTransaction[] = [];
  beats = 1;

  usualAnswerMs = () => 0;

  transact(transaction: RecordTransaction): Promise<never> {
    this.transactions.push(transaction);
    return new Promise(() => {});
  }

  async scan() {
    const value = Buffer.from(JSON.stringify({ life: HOLDER.life, count: this.beats, isLeaving: false }));
    const record = { key: `beat/${HOLDER.node}`, value, version: this.beats };
    return ok({ records: [record], version: this.beats, hasMore: false });
  }
}

describe('beats of holders', () => {
  let store: BeatStore;
  let controller: AbortController;
  let monitor: SessionMonitor;

  beforeEach(() => {
    store = new BeatStore();
    controller = new AbortController();
    monitor = new SessionMonitor(
      store as unknown as RecordStore,
      SELF,
      () => true,
      () => true,
    );
    void monitor.run(controller.signal);
  });

  afterEach(() => controller.abort());

  it('go on while earlier ones have no answer, a few at most', async () => {
    await until('several beats are written', () => store.transactions.length >= 3);
    await until('some looks have passed', () => monitor.observedTimeMs > 2_000);
    expect(store.transactions.length).to.be.at.most(4);
  });

  it('show a holder at work, and its loss soon after they stop', async () => {
    await until('the beat changes', () => {
      store.beats += 1;
      return monitor.observedTimeMs > 1_000;
    });
    expect(monitor.isLost(HOLDER, 0)).to.equal(false);
    const stoppedAtMs = monitor.observedTimeMs;
    await until('the holder is lost', () => monitor.isLost(HOLDER, 0));
    expect(monitor.observedTimeMs - stoppedAtMs).to.be.lessThan(LOSS_MS);
  });
});
