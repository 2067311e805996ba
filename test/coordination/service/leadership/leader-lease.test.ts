/** A successor must not act on a target within the handover guard of an action of another machine. */
import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import { silentDecisionLogger } from '../../../../src/common/decision-logger.js';
import { LeaderLease } from '../../../../src/coordination/service/leadership/leader-lease.js';
import { parseLease } from '../../../../src/coordination/service/leadership/lease-record.js';
import type { SessionMonitor } from '../../../../src/coordination/service/membership/session-monitor.js';
import {
  type RecordStore,
  RecordStoreError,
  type RecordTransaction,
  type StoredRecord,
} from '../../../../src/protocol/record-store.js';
import { ODD_VALUES } from '../../../support/odd-records.js';

const TASK = 'orders';
const HANDOVER_GUARD_MS = 3_000;
/** Longer than any action of an earlier holder is guarded. */
const AFTER_GUARD_MS = 10_000;

/** A store with one record and a manual clock. */
class LeaseStore {
  record: StoredRecord | undefined;
  clockMs = 1_000;
  transactions = 0;
  private version = 0;

  /** Lag of the node's estimate of the store's clock after a suspension, until the next response. */
  clockLagMs = 0;

  averageLatencyMs = () => 0;
  nowMs = () => this.clockMs - this.clockLagMs;

  /** Another writer's record in place of the lease. */
  overwrite(value: Buffer): void {
    this.version += 1;
    if (this.record) this.record = { ...this.record, value, version: this.version };
  }

  async transact({ conditions, writes }: RecordTransaction) {
    this.transactions += 1;
    this.clockLagMs = 0;
    const expected = conditions[0]?.version ?? 0;
    if (expected !== (this.record?.version ?? 0)) {
      const current = this.record ? [this.record] : [];
      return err(new RecordStoreError('conflict', 'none', 'changed', current));
    }
    this.version += 1;
    const [write] = writes;
    if (write) this.record = { ...write, version: this.version };
    return ok(this.version);
  }
}

describe('LeaderLease', () => {
  let store: LeaseStore;
  let isLost: boolean;

  beforeEach(() => {
    store = new LeaseStore();
    isLost = false;
    suspendedMs = 0;
  });

  /** Suspension time, which the time of day includes and the monotonic clock does not. */
  let suspendedMs = 0;
  const time = { monotonicMs: () => performance.now(), timeOfDayMs: () => performance.now() + suspendedMs };

  function leaseAt(node: string, life: string): LeaderLease {
    const sessions = { isLost: () => isLost, notifyHolding: () => {}, observedTimeMs: 0 };
    return new LeaderLease(
      store as unknown as RecordStore,
      TASK,
      { node, life },
      sessions as unknown as SessionMonitor,
      () => HANDOVER_GUARD_MS,
      silentDecisionLogger,
      time,
    );
  }

  async function acquire(lease: LeaderLease): Promise<LeaderLease> {
    lease.observe(store.record ? [store.record] : [], true);
    await lease.waitUntilHeld(AbortSignal.timeout(AFTER_GUARD_MS));
    return lease;
  }

  /** Acquires the lease on another machine after its holder was lost. */
  async function successor(node: string): Promise<LeaderLease> {
    isLost = true;
    return acquire(leaseAt(node, `${node}-life`));
  }

  it('lets a successor act at once on targets without recent actions, and on others after the handover guard', async () => {
    const first = await acquire(leaseAt('node-1', 'life-1'));
    expect(await first.confirm('replica-1')).to.not.equal(undefined);
    const second = await successor('node-2');
    expect(second.allowsAction('replica-2')).to.equal(true);
    expect(second.allowsAction('replica-1')).to.equal(false);
    store.clockMs += HANDOVER_GUARD_MS;
    expect(second.allowsAction('replica-1')).to.equal(false);
    store.clockMs += HANDOVER_GUARD_MS;
    expect(second.allowsAction('replica-1')).to.equal(true);
  });

  it('guards recent actions of all previous holders, not only of the last one', async () => {
    const first = await acquire(leaseAt('node-1', 'life-1'));
    await first.confirm('replica-1');
    const second = await successor('node-2');
    await second.confirm('replica-2');
    const third = await successor('node-3');
    expect(third.allowsAction('replica-1')).to.equal(false);
    expect(third.allowsAction('replica-2')).to.equal(false);
    expect(third.allowsAction('replica-3')).to.equal(true);
  });

  it('does not guard actions of an earlier process on the same machine', async () => {
    const before = await acquire(leaseAt('node-1', 'life-1'));
    await before.confirm('replica-1');
    const after = await acquire(leaseAt('node-1', 'life-2'));
    expect(after.allowsAction('replica-1')).to.equal(true);
  });

  it('guards actions after a release', async () => {
    const first = await acquire(leaseAt('node-1', 'life-1'));
    await first.confirm('replica-1');
    await first.release();
    const second = await acquire(leaseAt('node-2', 'life-2'));
    expect(second.allowsAction('replica-1')).to.equal(false);
  });

  it('confirms actions that begin together with a single write that lists all targets', async () => {
    const first = await acquire(leaseAt('node-1', 'life-1'));
    const before = store.transactions;
    const together = ['replica-1', 'replica-2', 'replica-3'].map((target) => first.confirm(target));
    for (const confirmation of await Promise.all(together)) expect(confirmation).to.not.equal(undefined);
    expect(store.transactions).to.equal(before + 1);
    const second = await successor('node-2');
    for (const target of ['replica-1', 'replica-2', 'replica-3'])
      expect(second.allowsAction(target)).to.equal(false);
  });

  it('confirms an action that begins during another confirmation with a separate write', async () => {
    const first = await acquire(leaseAt('node-1', 'life-1'));
    const early = first.confirm('replica-1');
    await Promise.resolve();
    await Promise.resolve();
    const late = first.confirm('replica-2');
    await Promise.all([early, late]);
    const second = await successor('node-2');
    expect(second.allowsAction('replica-2')).to.equal(false);
  });

  it('guards all targets if the record of an earlier version lists no actions', async () => {
    const value = { holder: { node: 'node-1', life: 'life-1' }, epoch: 1, acts: 7, validMs: 250 };
    const write = { table: 'sessions', partition: '', key: `duty/${TASK}` };
    await store.transact({
      conditions: [{ ...write, version: 0 }],
      writes: [{ ...write, value: Buffer.from(JSON.stringify(value)) }],
      removals: [],
    });
    const second = await successor('node-2');
    expect(second.allowsAction('replica-1')).to.equal(false);
    store.clockMs += AFTER_GUARD_MS;
    expect(second.allowsAction('replica-1')).to.equal(true);
  });

  it('expires a confirmation when the machine was suspended', async () => {
    const first = await acquire(leaseAt('node-1', 'life-1'));
    const confirmation = await first.confirm('replica-1');
    expect(confirmation?.isFresh()).to.equal(true);
    suspendedMs = AFTER_GUARD_MS;
    expect(confirmation?.isFresh()).to.equal(false);
  });

  it('does not confirm an action later than recorded when the clock estimate lags after a suspension', async () => {
    const first = await acquire(leaseAt('node-1', 'life-1'));
    store.clockMs += AFTER_GUARD_MS;
    store.clockLagMs = AFTER_GUARD_MS;
    expect((await first.confirm('replica-1'))?.isFresh()).to.equal(false);
    expect((await first.confirm('replica-1'))?.isFresh()).to.equal(true);
    expect((await successor('node-2')).allowsAction('replica-1')).to.equal(false);
  });

  it('confirms no action after another machine has acquired the lease', async () => {
    const first = await acquire(leaseAt('node-1', 'life-1'));
    await successor('node-2');
    expect(await first.confirm('replica-1')).to.equal(undefined);
    expect(first.isHeld).to.equal(false);
  });

  it('guards all targets when there are too many actions to store individually', async () => {
    const first = await acquire(leaseAt('node-1', 'life-1'));
    await Promise.all(Array.from({ length: 2_000 }, (_, index) => first.confirm(`replica-${index}`)));
    expect(store.record?.value.length).to.be.lessThan(60_000);
    const second = await successor('node-2');
    expect(second.allowsAction('replica-9999')).to.equal(false);
    store.clockMs += AFTER_GUARD_MS;
    expect(second.allowsAction('replica-9999')).to.equal(true);
  });

  for (const [name, value] of ODD_VALUES)
    it(`replaces a lease that is ${name} under a higher epoch, and guards every target`, async () => {
      const first = await acquire(leaseAt('node-1', 'life-1'));
      for (let confirmations = 0; confirmations < 5; confirmations += 1) await first.confirm('replica-1');
      const { epoch } = first;
      store.overwrite(value);
      expect(await first.confirm('replica-1'), 'its record is gone').to.equal(undefined);
      expect(first.isHeld).to.equal(false);
      const second = await acquire(leaseAt('node-2', 'life-2'));
      expect(second.epoch).to.be.greaterThan(epoch);
      expect(second.allowsAction('replica-2')).to.equal(false);
      store.clockMs += AFTER_GUARD_MS;
      expect(second.allowsAction('replica-2')).to.equal(true);
      expect((await second.confirm('replica-2'))?.isFresh()).to.equal(true);
      const third = await successor('node-3');
      expect(third.epoch).to.equal(second.epoch + 1);
    });

  it('reads leases of earlier builds and of later ones', () => {
    const early = { holder: { node: 'n', life: 'l' }, epoch: 4, acts: 2 };
    for (const content of [early, { ...early, validMs: 250, recent: [], later: [1] }])
      expect(
        parseLease({ value: Buffer.from(JSON.stringify(content)) } as StoredRecord)._unsafeUnwrap(),
      ).to.deep.equal(content);
  });
});
