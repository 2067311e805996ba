import { expect } from 'chai';
import { ok } from 'neverthrow';
import { Random } from '../../../../src/common/random.js';
import { SessionMonitor } from '../../../../src/coordination/service/membership/session-monitor.js';
import type { RecordStore, RecordTransaction } from '../../../../src/protocol/record-store.js';
import { ManualClock } from '../../../support/manual-clock.js';
import { ODD_VALUES } from '../../../support/odd-records.js';
import { until } from '../../../support/wait.js';

const SELF = { node: 'node-1', life: 'life-1' };
const HOLDER = { node: 'node-2', life: 'life-2' };
/** Bound for the detection of a stopped holder after its last heartbeat, milliseconds. */
const LOSS_BOUND_MS = 1_600;
const HEARTBEAT_INTERVAL_MS = 250;
/** Delay of a heartbeat that must not cause a loss, milliseconds. */
const MAX_DELAY_MS = 700;
const SEED = 481_340;

/** Random sources, which decide when nodes poll. */
const RANDOM_SOURCES: Readonly<Record<string, () => () => number>> = {
  'always early': () => () => 0,
  'always late': () => () => 0.999_999,
  drawn: () => {
    const random = new Random(SEED);
    return () => random.fraction();
  },
};

/** A store with one heartbeat; transactions are recorded and never answered. */
class HeartbeatStore {
  readonly transactions: RecordTransaction[] = [];
  writes = 1;
  reads = 0;
  /** Records of another writer in the same table. */
  oddRecords: { key: string; value: Buffer; version: number }[] = [];
  /** Store clock, milliseconds. */
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
    const records = [...this.oddRecords, record, ...this.oddRecords];
    return ok({ records, version: this.writes, hasMore: false });
  }
}

for (const [timing, createRandom] of Object.entries(RANDOM_SOURCES))
  describe(`SessionMonitor, polling ${timing}`, () => {
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

    it('sends heartbeats while a few earlier ones are unanswered', async () => {
      await clock.advance(HEARTBEAT_INTERVAL_MS * 3);
      expect(store.transactions.length).to.be.at.least(3);
      await clock.advance(2_000);
      expect(store.transactions.length).to.be.at.most(4);
    });

    it('keeps on observing the holders beside records that are no heartbeats, also of their own', async () => {
      const keys = ['beat/odd', 'beat/', `beat/${HOLDER.node}`];
      for (const [name, value] of ODD_VALUES) {
        store.oddRecords = keys.map((key) => ({ key, value, version: store.writes }));
        await sendHeartbeatsFor(2_000);
        expect(monitor.isLost(HOLDER, 0), name).to.equal(false);
      }
      await clock.advance(LOSS_BOUND_MS);
      expect(monitor.isLost(HOLDER, 0)).to.equal(true);
    });

    it('detects the loss of a holder within its bound, whenever the heartbeats stop', async () => {
      for (let workMs = 2_000; workMs < 2_500; workMs += 10) {
        await sendHeartbeatsFor(workMs);
        expect(monitor.isLost(HOLDER, 0)).to.equal(false);
        await clock.advance(LOSS_BOUND_MS);
        expect(monitor.isLost(HOLDER, 0), `lost after ${workMs} ms of work`).to.equal(true);
      }
    });

    it('does not count a holder as lost when a heartbeat is late', async () => {
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

describe('SessionMonitor in a large fleet', () => {
  const FLEET_SIZE = 200;
  /** Bound for the reads of all nodes together, whatever their number. */
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

  it('polls rarely while holders run', async () => {
    await sendHeartbeatsFor(LONG_MS);
    expect(store.reads / (LONG_MS / 1000)).to.be.at.most(MAX_FLEET_READS_PER_SECOND / FLEET_SIZE);
    expect(monitor.isLost(HOLDER, 0)).to.equal(false);
  });

  it('polls frequently once a heartbeat is suspect, until the holder is lost', async () => {
    await sendHeartbeatsFor(LONG_MS);
    const readsBefore = store.reads;
    await until('the suspect heartbeat is found', async () => {
      await clock.advance(HEARTBEAT_INTERVAL_MS);
      return store.reads > readsBefore;
    });
    expect(monitor.isLost(HOLDER, 0)).to.equal(false);
    await clock.advance(LOSS_BOUND_MS);
    expect(monitor.isLost(HOLDER, 0)).to.equal(true);
  });

  it('polls frequently as soon as this node holds something', async () => {
    await sendHeartbeatsFor(LONG_MS);
    const readsBefore = store.reads;
    isHolder = true;
    monitor.notifyHolding();
    await sendHeartbeatsFor(LOSS_BOUND_MS);
    expect(store.reads - readsBefore).to.be.at.least(2);
  });

  it('polls on refresh, so that a running owner is recognized', async () => {
    await sendHeartbeatsFor(LONG_MS);
    await clock.advance(HEARTBEAT_INTERVAL_MS);
    store.writeHeartbeat(clock.now());
    await monitor.refresh();
    expect(monitor.isFresh(HOLDER)).to.equal(true);
    await clock.advance(LOSS_BOUND_MS);
    await monitor.refresh();
    expect(monitor.isFresh(HOLDER)).to.equal(false);
  });
});
