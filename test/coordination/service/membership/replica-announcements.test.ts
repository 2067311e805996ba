import { expect } from 'chai';
import { err, ok, type Result } from 'neverthrow';
import { ServiceMetrics } from '../../../../src/common/service-metrics.js';
import type { AnnouncementFormat } from '../../../../src/coordination/service/membership/announcements.js';
import { ReplicaAnnouncements } from '../../../../src/coordination/service/membership/replica-announcements.js';
import type { RecordStore } from '../../../../src/protocol/record-store.js';
import type { Replica } from '../../../../src/protocol/service/replica.js';
import { ReplicaDirectory } from '../../../../src/state/service/replicas/replica-directory.js';
import type { ReplicaState } from '../../../../src/state/service/replicas/replica-state.js';
import { ManualClock } from '../../../support/manual-clock.js';
import { replicaWith } from '../../../support/replicas.js';

const HEARTBEAT_MS = 1_000;
const STARTED_AT_MS = 1_790_000_000_000;

describe('ReplicaAnnouncements', () => {
  let directory: ReplicaDirectory;
  let announcements: ReplicaAnnouncements;
  let clock: ManualClock;
  let isFeedCurrent: boolean;
  let logLines: string[];
  let metrics: ServiceMetrics;
  let version: number;

  beforeEach(() => {
    directory = new ReplicaDirectory();
    clock = new ManualClock(() => 0.5);
    isFeedCurrent = true;
    logLines = [];
    metrics = new ServiceMetrics();
    version = 0;
    announcements = new ReplicaAnnouncements(
      {
        store: {} as RecordStore,
        format: {
          replicaTable: 'replicas',
          parseReplica: (_: string, value: Buffer): Result<Replica, string> => {
            const text = value.toString();
            return text === 'bad' ? err('it is bad') : ok(rows[Number(text)] as Replica);
          },
        } as AnnouncementFormat,
        directory,
        heartbeatMs: () => HEARTBEAT_MS,
        isFeedCurrent: () => isFeedCurrent,
        metrics,
        logger: { record: (record) => logLines.push(JSON.stringify(record)) },
      },
      clock,
    );
    rows.length = 0;
  });

  const rows: Replica[] = [];

  function announce(fields: Partial<Replica> = {}): void {
    version += 1;
    rows.push(replicaWith({ startedAtMs: STARTED_AT_MS, ...fields }));
    const value = Buffer.from(String(rows.length - 1));
    announcements.apply({ table: 'replicas', partition: '', key: 'r1', value, version });
  }

  const announceValue = (value: Buffer | undefined) =>
    announcements.apply({ table: 'replicas', partition: '', key: 'r1', value, version: 99 });

  const currentState = () => directory.get('r1') as ReplicaState;
  const isAvailable = () => directory.availableOf('s').length === 1;

  it('keeps the state of a replica while the same incarnation is announced again', () => {
    announce();
    const state = currentState();
    state.recordSuccess(40);
    announce({ slots: 6 });
    expect(currentState()).to.equal(state);
    expect(state.averageMs).to.equal(40);
  });

  it('keeps the state of an incarnation whose announcement was absent for a while', () => {
    announce();
    const state = currentState();
    state.inFlight = 2;
    announceValue(undefined);
    expect(isAvailable()).to.equal(false);
    expect(state.isLeaving).to.equal(true);
    announce();
    expect(currentState()).to.equal(state);
    expect(state.isLeaving).to.equal(false);
  });

  it('discards the state of an incarnation and ends its requests when a later one is announced', () => {
    announce({ modelVersions: new Map([['m', 3]]) });
    const previous = currentState();
    previous.recordSuccess(40);
    previous.recordFailure();
    previous.inFlight = 3;
    let restarts = 0;
    previous.onRestart(() => {
      restarts += 1;
    });
    announce({ startedAtMs: STARTED_AT_MS + 1, modelVersions: new Map([['m', 2]]) });
    expect(currentState()).to.not.equal(previous);
    expect(currentState().averageMs).to.equal(0);
    expect(currentState().isUnhealthy).to.equal(false);
    expect(currentState().inFlight).to.equal(0);
    expect(currentState().versionOf('m')).to.equal(2);
    expect(restarts).to.equal(1);
    expect(directory.isAvailable(previous)).to.equal(false);
    expect(logLines.at(-1)).to.contain('restarted, started at');
  });

  it('marks an absent incarnation as restarted when a later one is announced', () => {
    announce();
    const previous = currentState();
    announceValue(undefined);
    announce({ startedAtMs: STARTED_AT_MS + 1 });
    expect(currentState()).to.not.equal(previous);
    expect(previous.hasRestarted).to.equal(true);
  });

  it('keeps the running incarnation after a delayed write of an earlier one, since it writes again', async () => {
    announce();
    announce({ startedAtMs: STARTED_AT_MS + 500, isDraining: true });
    const running = currentState();
    announce({ modelVersions: new Map([['m', 9]]) });
    expect(isAvailable()).to.equal(false);
    await clock.advance(HEARTBEAT_MS);
    announce({ startedAtMs: STARTED_AT_MS + 500, isDraining: true });
    await clock.advance(10 * HEARTBEAT_MS);
    expect(currentState()).to.equal(running);
    expect(running.versionOf('m')).to.equal(0);
    expect(isAvailable()).to.equal(false);
  });

  it('replaces the known incarnation by one with an earlier start time once its record has stayed', async () => {
    announce();
    const previous = currentState();
    announce({ startedAtMs: STARTED_AT_MS - 60_000 });
    expect(isAvailable(), 'neither is available before the confirmation').to.equal(false);
    await clock.advance(2 * HEARTBEAT_MS);
    expect(isAvailable()).to.equal(false);
    await clock.advance(2 * HEARTBEAT_MS);
    expect(isAvailable()).to.equal(true);
    expect(currentState().replica.startedAtMs).to.equal(STARTED_AT_MS - 60_000);
    expect(previous.hasRestarted).to.equal(true);
  });

  it('confirms no incarnation while changes do not arrive', async () => {
    announce();
    isFeedCurrent = false;
    announce({ startedAtMs: STARTED_AT_MS - 60_000 });
    await clock.advance(9 * HEARTBEAT_MS);
    expect(isAvailable()).to.equal(false);
    isFeedCurrent = true;
    await clock.advance(4 * HEARTBEAT_MS);
    expect(isAvailable()).to.equal(true);
  });

  it('removes a replica after an invalid record until its next valid one', () => {
    announce();
    const state = currentState();
    announceValue(Buffer.from('bad'));
    expect(isAvailable()).to.equal(false);
    expect(logLines.some((line) => line.includes('it is bad'))).to.equal(true);
    announce();
    expect(currentState()).to.equal(state);
    expect(isAvailable()).to.equal(true);
  });

  it('logs and counts an invalid record once for each of its changes, however often the table is read', async () => {
    const value = Buffer.from('bad');
    const record = (version: number) => ({ table: 'replicas', partition: '', key: 'r2', value, version });
    for (let reads = 0; reads < 3; reads += 1) announcements.replaceAll([record(7)]);
    announcements.apply(record(8));
    announcements.replaceAll([]);
    announcements.replaceAll([record(9)]);
    expect(logLines.filter((line) => line.includes('invalid announcement'))).to.have.length(3);
    const counted = await metrics.unreadableReplicas.get();
    expect(counted.values.map((one) => one.value)).to.deep.equal([3]);
  });

  it('rejects a record without a start time where the known incarnation has one', () => {
    announce();
    announce({ startedAtMs: undefined });
    expect(isAvailable()).to.equal(false);
    announce();
    expect(isAvailable()).to.equal(true);
  });

  it('applies records in order of arrival for replicas that never announce a start time', () => {
    announce({ startedAtMs: undefined });
    const state = currentState();
    announce({ startedAtMs: undefined, slots: 9 });
    expect(currentState()).to.equal(state);
    announce({ startedAtMs: STARTED_AT_MS });
    expect(currentState()).to.not.equal(state);
  });

  it('keeps replicas of an evacuated zone unavailable until the evacuation ends', () => {
    announce();
    directory.setEvacuated('z', true);
    expect(isAvailable()).to.equal(false);
    announce({ slots: 5 });
    expect(isAvailable()).to.equal(false);
    directory.setEvacuated('z', false);
    expect(isAvailable()).to.equal(true);
  });
});
