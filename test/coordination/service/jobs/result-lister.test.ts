/** When results of a job are listed: batched, so that a read is pending when the last one is listed. */
import { expect } from 'chai';
import { err, ok, type Result } from 'neverthrow';
import { RowStore } from '../../../../emulator/store/row-store.js';
import { DesiredGroups } from '../../../../src/coordination/service/jobs/desired-groups.js';
import {
  type ListerServices,
  ResultLister,
} from '../../../../src/coordination/service/jobs/result-lister.js';
import {
  type RecordStore,
  RecordStoreError,
  type RecordTransaction,
} from '../../../../src/protocol/record-store.js';
import type { JobItem } from '../../../../src/protocol/service/batch-job.js';
import { JobContents } from '../../../../src/state/service/jobs/job-contents.js';
import { headAddress, type JobHead, type JobRecord } from '../../../../src/state/service/jobs/job-record.js';
import { toRows, toStoredRecord } from '../../../support/faulty-platform.js';
import { ManualClock } from '../../../support/manual-clock.js';
import { until } from '../../../support/wait.js';

const DUE_MS = 7_500;
/** Maximum time for which a result waits for others. */
const MAX_BATCH_DELAY_MS = 1_000;
/** Time within which urgent results are listed. */
const URGENT_MS = 20;

describe('ResultLister', () => {
  let clock: ManualClock;
  let lister: ResultLister;
  let controller: AbortController;
  let listings: string[][];
  let notListed: Set<string>;

  beforeEach(() => {
    clock = new ManualClock(() => 0.5);
    controller = new AbortController();
    listings = [];
    notListed = new Set();
    const contents = {
      countFittingResults: (results: readonly string[]) => results.length,
      appendResults: async (_head: JobHead, _position: number, results: readonly string[]) => {
        listings.push(results.map((result) => (JSON.parse(result) as { id: string }).id));
        return ok(undefined);
      },
    };
    const services = {
      repository: { contents },
      cache: { append: () => {} },
      metrics: { listedSeconds: { observe: () => {} } },
      logger: { record: () => {} },
    } as unknown as ListerServices;
    const job = {
      head: { jobId: 'job-1', record: { epoch: 1 } } as unknown as JobHead,
      listedCount: 0,
      acceptedAtMs: 0,
      dueAgeMs: () => DUE_MS,
      onListed: (itemId: string) => notListed.delete(itemId),
    };
    lister = new ResultLister(services, job, controller.signal, clock);
    void lister.run(100);
  });

  afterEach(() => controller.abort());

  function add(id: string, isUrgent = false): void {
    notListed.add(id);
    lister.add({ id, state: 'completed', text: '', versions: [], score: undefined }, isUrgent);
  }

  it('batches results, but no longer than a read waits', async () => {
    add('a');
    await clock.advance(MAX_BATCH_DELAY_MS / 2);
    add('b');
    await clock.advance(MAX_BATCH_DELAY_MS / 2 - 1);
    expect(listings).to.deep.equal([]);
    await clock.advance(2);
    expect(listings).to.deep.equal([['a', 'b']]);
    add('c');
    await clock.advance(MAX_BATCH_DELAY_MS - 1);
    expect(listings).to.have.length(1);
    await clock.advance(2);
    expect(listings).to.deep.equal([['a', 'b'], ['c']]);
  });

  it('lists pending results at once, together with an urgent one', async () => {
    add('a');
    await clock.advance(100);
    add('b', true);
    await clock.advance(URGENT_MS);
    expect(listings).to.deep.equal([['a', 'b']]);
  });

  it('lists results when they are due, and at once after that', async () => {
    await clock.advance(DUE_MS - 100);
    add('a');
    await clock.advance(101);
    expect(listings).to.deep.equal([['a']]);
    add('b');
    await clock.advance(URGENT_MS);
    expect(listings).to.deep.equal([['a'], ['b']]);
  });

  it('reports results as listed only once the store has them', async () => {
    add('a');
    await clock.advance(MAX_BATCH_DELAY_MS - 1);
    expect([...notListed]).to.deep.equal(['a']);
    await clock.advance(2);
    expect([...notListed]).to.deep.equal([]);
  });
});

/** A store in memory that executes a transaction without an answer and then fails all calls until `isUp`. */
class StoreWithOutage {
  readonly limits = { recordBytes: 65_536, objectBytes: 8_388_608 };
  readonly rows = new RowStore();
  isUp = false;
  calls = 0;

  async transact(transaction: RecordTransaction): Promise<Result<number, RecordStoreError>> {
    this.calls += 1;
    if (!this.isUp && this.calls > 1) return err(new RecordStoreError('unavailable', 'unknown', 'reset'));
    const outcome = this.rows.transact(toRows(transaction));
    if (this.calls === 1) return err(new RecordStoreError('unavailable', 'unknown', 'no answer'));
    if ('ver' in outcome) return ok(outcome.ver);
    const current = outcome.rows.map(toStoredRecord);
    return err(new RecordStoreError('conflict', 'none', 'a condition did not hold', current));
  }
}

describe('ResultLister after a write that was executed without an answer', () => {
  /** Longer than any time-out of a write. */
  const OUTAGE_MS = 5_500;

  // Guards against a batch that grows after its write was executed, and then fails on the results of that write.
  it('lists the results that were added in a long outage after those of the write', async () => {
    const store = new StoreWithOutage();
    const { table, partition, key } = headAddress('job-1');
    const version = store.rows.put(table, key, {}, partition);
    const listed: string[] = [];
    const controller = new AbortController();
    const services = {
      repository: { contents: new JobContents(store as unknown as RecordStore) },
      cache: { append: () => {} },
      metrics: { listedSeconds: { observe: () => {} } },
      logger: { record: () => {} },
    } as unknown as ListerServices;
    const job = {
      head: { jobId: 'job-1', record: { epoch: 1 } as JobRecord, version },
      listedCount: 0,
      acceptedAtMs: performance.now(),
      dueAgeMs: () => 0,
      onListed: (itemId: string) => listed.push(itemId),
    };
    const lister = new ResultLister(services, job, controller.signal);
    const add = (id: string) =>
      lister.add({ id, state: 'completed', text: '', versions: [], score: undefined }, true);
    const running = lister.run(3);
    add('a');
    await until('the write was executed', () => store.calls > 1);
    add('b');
    add('c');
    const downSinceMs = performance.now();
    await until('the outage is long', () => performance.now() - downSinceMs > OUTAGE_MS);
    store.isUp = true;
    expect(await running).to.equal(true);
    expect(listed).to.deep.equal(['a', 'b', 'c']);
    controller.abort();
  });
});

describe('DesiredGroups', () => {
  const items = ['a', 'a', 'b', 'b', 'c', 'c'].map((group, index) => ({ id: `${index}`, group }) as JobItem);

  function isComplete(groups: DesiredGroups, ids: readonly number[]): boolean {
    for (const id of ids) groups.recordResult(items[id] as JobItem);
    return groups.areComplete;
  }

  it('completes once the desired number of groups is complete, whichever they are', () => {
    const groups = new DesiredGroups(items, 2, () => false);
    expect(isComplete(groups, [0, 2, 4, 1])).to.equal(false);
    expect(isComplete(groups, [5])).to.equal(true);
  });

  it('requires the groups that an earlier job left unfinished', () => {
    const groups = new DesiredGroups(items, 2, ({ id }) => id === '4');
    expect(isComplete(groups, [0, 1, 2, 3])).to.equal(false);
    expect(isComplete(groups, [4, 5])).to.equal(true);
  });

  it('requires no more groups than the job has', () => {
    const groups = new DesiredGroups(items, 9, () => false);
    expect(isComplete(groups, [0, 1, 2, 3, 4])).to.equal(false);
    expect(isComplete(groups, [5])).to.equal(true);
  });
});
