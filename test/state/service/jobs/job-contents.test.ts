/**
 * Results of a job, listed by an owner that was replaced meanwhile.
 *
 * What users would have seen: a result read at one node stands at another position at all others. The order of events: an owner
 * sends a batch and is left without an answer (it stood still, or the store did); its successor lists the same results, whose
 * bytes follow from the items alone, in another order; the first owner repeats its batch, fails on its condition, finds its first
 * result where it wanted it, and takes the whole batch for listed. The cause: one record was taken as proof of all. The evidence:
 * a soak with owners that stood still, in which two positions read at one node later held each other's results.
 */
import { expect } from 'chai';
import { err, ok, type Result } from 'neverthrow';
import { RowStore } from '../../../../emulator/store/row-store.js';
import {
  type RecordStore,
  RecordStoreError,
  type RecordTransaction,
} from '../../../../src/protocol/record-store.js';
import { JobContents } from '../../../../src/state/service/jobs/job-contents.js';
import { headAddress, type JobHead, type JobRecord } from '../../../../src/state/service/jobs/job-record.js';
import { toRows, toStoredRecord } from '../../../support/faulty-platform.js';

const JOB = 'job-1';
const TIMEOUT_MS = 5_000;

/** Rows behind the interface of the store; `beforeNext` stands between a transaction that is lost and its repeat. */
class LossyStore {
  readonly limits = { recordBytes: 65_536, objectBytes: 8_388_608 };
  readonly rows = new RowStore();
  /** Whether the next transaction is left without an answer, and whether it is done all the same. */
  loseNext: 'not done' | 'done' | undefined;
  /** Called after a transaction was left without an answer. */
  onLost: () => Promise<void> = async () => {};

  async transact(transaction: RecordTransaction): Promise<Result<number, RecordStoreError>> {
    const lost = this.loseNext;
    this.loseNext = undefined;
    const outcome = lost === 'not done' ? undefined : this.rows.transact(toRows(transaction));
    if (lost !== undefined || outcome === undefined) {
      await this.onLost();
      return err(new RecordStoreError('unavailable', 'unknown', 'no answer'));
    }
    if ('ver' in outcome) return ok(outcome.ver);
    const current = outcome.rows.map(toStoredRecord);
    return err(new RecordStoreError('conflict', 'none', 'a condition did not hold', current));
  }

  async scan({
    table,
    partition,
    from,
    until,
  }: {
    table: string;
    partition: string;
    from?: string;
    until?: string;
  }) {
    const records = this.rows.scan(table, partition, from ?? '', until).map(toStoredRecord);
    return ok({ records, hasMore: false, version: this.rows.version });
  }
}

describe('results of a job', () => {
  let store: LossyStore;
  let contents: JobContents;
  let first: JobHead;

  /** Writes a head as a claim does. */
  function claim(): JobHead {
    const { table, partition, key } = headAddress(JOB);
    return { jobId: JOB, record: {} as JobRecord, version: store.rows.put(table, key, {}, partition) };
  }

  const append = (head: JobHead, position: number, results: readonly string[]) =>
    contents.appendResults(
      head,
      position,
      results,
      performance.now() + TIMEOUT_MS,
      new AbortController().signal,
    );

  beforeEach(() => {
    store = new LossyStore();
    contents = new JobContents(store as unknown as RecordStore);
    first = claim();
  });

  it('are not taken for listed when a successor has listed them in another order', async () => {
    store.loseNext = 'not done';
    store.onLost = async () => {
      const second = claim();
      expect((await append(second, 0, ['a'])).isOk()).to.equal(true);
      expect((await append(second, 1, ['c', 'b'])).isOk()).to.equal(true);
    };
    const listed = await append(first, 0, ['a', 'b', 'c']);
    expect(listed.isErr() && listed.error.failure).to.equal('conflict');
    expect((await contents.allResults(JOB))._unsafeUnwrap()).to.deep.equal(['a', 'c', 'b']);
  });

  it('are taken for listed when the lost transaction was done, whoever owns the job by now', async () => {
    store.loseNext = 'done';
    store.onLost = async () => {
      expect((await append(claim(), 3, ['d'])).isOk()).to.equal(true);
    };
    expect((await append(first, 0, ['a', 'b', 'c'])).isOk()).to.equal(true);
    expect((await contents.allResults(JOB))._unsafeUnwrap()).to.deep.equal(['a', 'b', 'c', 'd']);
  });

  it('fit one transaction with a condition for each record', () => {
    const results = Array.from({ length: 100 }, (_, index) => `result ${index}`);
    expect(contents.countFittingResults(results) * 2 + 1).to.be.within(3, 100);
  });
});
