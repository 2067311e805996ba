/** Beats of holders and their loss, on a store that answers late or not at all. */
import { expect } from 'chai';
import { ok } from 'neverthrow';
import { Random } from '../../../../src/common/random.js';
import { SessionMonitor } from '../../../../src/coordination/service/membership/session-monitor.js';
import type { RecordStore, RecordTransaction } from '../../../../src/protocol/record-store.js';
import { ManualClock } from '../../../support/manual-clock.js';
import { until } from '../../../support/wait.js';

const SELF = { node: 'node-1', life: 'life-1' };
const HOLDER = { node: 'node-2', life: 'life-2' };
/** Time after its last heartbeat in which a holder that stopped must count as lost, milliseconds. */
const LOSS_MS = 1_600;
/** Time between two beats, milliseconds. */
const HEARTBEAT_INTERVAL_MS = 250;
/** Time by which a heartbeat may be late while its holder runs, milliseconds. */
const MAX_DELAY_MS = 700;
const SEED = 481_340;

/** What chance gives: it decides when nodes look. */
const RANDOM_SOURCES: Readonly<Record<string, () => () => number>> = {
  'always early': () => () => 0,
  'always late': () => () => 0.999_999,
  drawn: () => {
    const random = new Random(SEED);
    return () => random.fraction();
  },
};

/** A store with one heartbeat; transactions are counted and left without an answer. */
class HeartbeatStore {
  readonly transactions: RecordTransaction[] = [];
  writes = 1;
  reads = 0;
  /** When the newest heartbeat was written, on the store's clock. */
  private writtenAtMs = 0;

  averageLatencyMs = () => 0;
  nowMs = () => 0;

  writeHeartbeat(atMs: number): void {
    this.writes += 1;
    this.writtenAtMs = atMs;
  }

  transact(transaction: RecordTransaction): Promise<never> {
    this.transactions.push(transaction);
    return new Promise(() => {});
  }

  async scan() {
    this.reads += 1;
    const heartbeat = { life: HOLDER.life, count: this.writes, isLeaving: false, atMs: this.writtenAtMs };
    const value = Buffer.from(JSON.stringify(heartbeat));
    const record = { key: `beat/${HOLDER.node}`, value, version: this.writes };
    return ok({ records: [record], version: this.writes, hasMore: false });
  }
}

for (const [timing, createRandom] of Object.entries(RANDOM_SOURCES))
  describe(`heartbeats of holders, reads ${timing}`, () => {
    let clock: ManualClock;
    let store: HeartbeatStore;
    let controller: AbortController;
    let monitor: SessionMonitor;

    beforeEach(() => {
      clock = new ManualClock(createRandom());
      store = new HeartbeatStore();
      controller = new AbortController();
      monitor = new SessionMonitor(
        store as unknown as RecordStore,
        SELF,
        { isHolder: () => true, mustWatch: () => true, holders: () => [HOLDER], fleetSize: () => 1 },
        clock,
      );
      void monitor.run(controller.signal);
    });

    afterEach(() => controller.abort());

    async function sendHeartbeatsFor(ms: number): Promise<void> {
      await clock.advance(ms % HEARTBEAT_INTERVAL_MS);
      for (let passedMs = 0; passedMs < ms; passedMs += HEARTBEAT_INTERVAL_MS) {
        await clock.advance(HEARTBEAT_INTERVAL_MS);
        store.writes += 1;
      }
    }

    it('go on while earlier ones have no answer, a few at most', async () => {
      await clock.advance(HEARTBEAT_INTERVAL_MS * 3);
      expect(store.transactions.length).to.be.at.least(3);
      await clock.advance(2_000);
      expect(store.transactions.length).to.be.at.most(4);
    });

    it('show a running holder, and its loss soon after they stop, whenever that is', async () => {
      for (let workMs = 2_000; workMs < 2_500; workMs += 10) {
        await sendHeartbeatsFor(workMs);
        expect(monitor.isLost(HOLDER, 0)).to.equal(false);
        await clock.advance(LOSS_MS);
        expect(monitor.isLost(HOLDER, 0), `lost after ${workMs} ms of work`).to.equal(true);
      }
    });

    it('show no loss when one comes late', async () => {
      for (let workMs = 2_000; workMs < 2_500; workMs += 10) {
        await sendHeartbeatsFor(workMs);
        await clock.advance(HEARTBEAT_INTERVAL_MS);
        for (let lateMs = 0; lateMs < MAX_DELAY_MS; lateMs += 10) {
          await clock.advance(10);
          expect(monitor.isLost(HOLDER, 0), `${lateMs} ms late`).to.equal(false);
        }
      }
    });
  });

describe('reads of heartbeats in a large fleet', () => {
  const FLEET_SIZE = 200;
  /** Looks that all nodes together make in a second at most, whatever their number. */
  const MAX_FLEET_READS_PER_SECOND = 40;
  const LONG_MS = 60_000;
  let clock: ManualClock;
  let store: HeartbeatStore;
  let controller: AbortController;
  let monitor: SessionMonitor;
  let isHolder: boolean;

  beforeEach(() => {
    clock = new ManualClock(() => 0.5);
    store = new HeartbeatStore();
    store.nowMs = () => clock.now();
    controller = new AbortController();
    isHolder = false;
    const roles = {
      isHolder: () => isHolder,
      mustWatch: () => true,
      holders: () => [HOLDER],
      fleetSize: () => FLEET_SIZE,
    };
    monitor = new SessionMonitor(store as unknown as RecordStore, SELF, roles, clock);
    void monitor.run(controller.signal);
  });

  afterEach(() => controller.abort());

  async function sendHeartbeatsFor(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += HEARTBEAT_INTERVAL_MS) {
      await clock.advance(HEARTBEAT_INTERVAL_MS);
      store.writeHeartbeat(clock.now());
    }
  }

  it('are few for each node while holders run', async () => {
    await sendHeartbeatsFor(LONG_MS);
    expect(store.reads / (LONG_MS / 1000)).to.be.at.most(MAX_FLEET_READS_PER_SECOND / FLEET_SIZE);
    expect(monitor.isLost(HOLDER, 0)).to.equal(false);
  });

  it('are frequent once a heartbeat is suspect, until the loss is certain', async () => {
    await sendHeartbeatsFor(LONG_MS);
    const readsBefore = store.reads;
    await until('the old heartbeat is found', async () => {
      await clock.advance(HEARTBEAT_INTERVAL_MS);
      return store.reads > readsBefore;
    });
    expect(monitor.isLost(HOLDER, 0)).to.equal(false);
    await clock.advance(LOSS_MS);
    expect(monitor.isLost(HOLDER, 0)).to.equal(true);
  });

  it('are frequent as soon as this node holds something itself', async () => {
    await sendHeartbeatsFor(LONG_MS);
    const readsBefore = store.reads;
    isHolder = true;
    monitor.notifyHolding();
    await sendHeartbeatsFor(LOSS_MS);
    expect(store.reads - readsBefore).to.be.at.least(2);
  });

  it('are made when a job is handed over, so that its owner is known to run', async () => {
    await sendHeartbeatsFor(LONG_MS);
    await clock.advance(HEARTBEAT_INTERVAL_MS);
    store.writeHeartbeat(clock.now());
    await monitor.refresh();
    expect(monitor.isFresh(HOLDER)).to.equal(true);
    await clock.advance(LOSS_MS);
    await monitor.refresh();
    expect(monitor.isFresh(HOLDER)).to.equal(false);
  });
});
