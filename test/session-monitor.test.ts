/** Beats of holders and their loss, on a store that answers late or not at all. */
import { expect } from 'chai';
import { ok } from 'neverthrow';
import { Random } from '../src/common/random.js';
import { SessionMonitor } from '../src/coordination/session-monitor.js';
import type { RecordStore, RecordTransaction } from '../src/protocol/record-store.js';
import { ManualClock } from './support/manual-clock.js';

const SELF = { node: 'node-1', life: 'life-1' };
const HOLDER = { node: 'node-2', life: 'life-2' };
/** Time after its last beat in which a holder that stopped must count as lost, milliseconds. */
const LOSS_MS = 1_600;
/** Time between two beats, milliseconds. */
const BEAT_MS = 250;
/** Time by which a beat may come late while its holder is at work, milliseconds. */
const HICCUP_MS = 700;
const SEED = 481_340;

/** What chance gives: it decides when nodes look. */
const CHANCES: Readonly<Record<string, () => () => number>> = {
  'always early': () => () => 0,
  'always late': () => () => 0.999_999,
  drawn: () => {
    const random = new Random(SEED);
    return () => random.fraction();
  },
};

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

for (const [looks, chance] of Object.entries(CHANCES))
  describe(`beats of holders, looks ${looks}`, () => {
    let clock: ManualClock;
    let store: BeatStore;
    let controller: AbortController;
    let monitor: SessionMonitor;

    beforeEach(() => {
      clock = new ManualClock(chance());
      store = new BeatStore();
      controller = new AbortController();
      monitor = new SessionMonitor(
        store as unknown as RecordStore,
        SELF,
        () => true,
        () => true,
        clock,
      );
      void monitor.run(controller.signal);
    });

    afterEach(() => controller.abort());

    async function beatFor(ms: number): Promise<void> {
      await clock.advance(ms % BEAT_MS);
      for (let passedMs = 0; passedMs < ms; passedMs += BEAT_MS) {
        await clock.advance(BEAT_MS);
        store.beats += 1;
      }
    }

    it('go on while earlier ones have no answer, a few at most', async () => {
      await clock.advance(BEAT_MS * 3);
      expect(store.transactions.length).to.be.at.least(3);
      await clock.advance(2_000);
      expect(store.transactions.length).to.be.at.most(4);
    });

    it('show a holder at work, and its loss soon after they stop, whenever that is', async () => {
      for (let workMs = 2_000; workMs < 2_500; workMs += 10) {
        await beatFor(workMs);
        expect(monitor.isLost(HOLDER, 0)).to.equal(false);
        await clock.advance(LOSS_MS);
        expect(monitor.isLost(HOLDER, 0), `lost after ${workMs} ms of work`).to.equal(true);
      }
    });

    it('show no loss when one comes late', async () => {
      for (let workMs = 2_000; workMs < 2_500; workMs += 10) {
        await beatFor(workMs);
        await clock.advance(BEAT_MS);
        for (let lateMs = 0; lateMs < HICCUP_MS; lateMs += 10) {
          await clock.advance(10);
          expect(monitor.isLost(HOLDER, 0), `${lateMs} ms late`).to.equal(false);
        }
      }
    });
  });
