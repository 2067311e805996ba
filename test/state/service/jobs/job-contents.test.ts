/**
 * Guards against an owner that treats its batch of results as written after a lost answer, although a later owner has
 * written the same results in another order.
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
import { ResultCache } from '../../../../src/state/service/jobs/result-cache.js';
import { toRows, toStoredRecord } from '../../../support/faulty-platform.js';

const JOB = 'job-1';
/** The store's limit of a transaction, and how much base64 adds to a value. */
const MAX_TRANSACTION_BYTES = 1_000_000;
const BASE64_FACTOR = 4 / 3;
/** Largest page of results that callers expect, and the limit of one. */
const MAX_PAGE_BYTES = 1_000_000;
const PAGE_BYTES = 900_000;

/** An in-memory store whose next answer can be lost, with or without executing the transaction. */
class LossyStore {
  readonly limits = { recordBytes: 65_536, objectBytes: 8_388_608 };
  readonly rows = new RowStore();
  /** Loses the answer of the next transaction, which is executed or not. */
  loseNext: 'not done' | 'done' | undefined;
  /** Called after a lost answer, before the transaction is repeated. */
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

describe('JobContents', () => {
  let store: LossyStore;
  let contents: JobContents;
  let first: JobHead;

  /** Writes a new version of the head, as a claim does. */
  function claim(): JobHead {
    const { table, partition, key } = headAddress(JOB);
    return { jobId: JOB, record: {} as JobRecord, version: store.rows.put(table, key, {}, partition) };
  }

  const append = (head: JobHead, position: number, results: readonly string[]) =>
    contents.appendResults(head, position, results, new AbortController().signal);

  beforeEach(() => {
    store = new LossyStore();
    contents = new JobContents(store as unknown as RecordStore);
    first = claim();
  });

  it('rejects a repeated batch when a later owner has written the results in another order', async () => {
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

  it('accepts a repeated batch when the lost transaction was executed, whoever owns the job by then', async () => {
    store.loseNext = 'done';
    store.onLost = async () => {
      expect((await append(claim(), 3, ['d'])).isOk()).to.equal(true);
    };
    expect((await append(first, 0, ['a', 'b', 'c'])).isOk()).to.equal(true);
    expect((await contents.allResults(JOB))._unsafeUnwrap()).to.deep.equal(['a', 'b', 'c', 'd']);
  });

  // Guards against batches and pages whose limits in bytes are counted in characters: 56 KB each, two bytes a letter.
  const wideResults = Array.from({ length: 60 }, () => JSON.stringify({ text: 'ي'.repeat(28_000) }));

  const bytesOf = (results: readonly string[]) =>
    results.reduce((sum, result) => sum + Buffer.byteLength(result, 'utf8'), 0);

  it('counts results that fit one transaction in bytes, not in characters', () => {
    const count = contents.countFittingResults(wideResults);
    const bytes = bytesOf(wideResults.slice(0, count));
    expect(bytes * BASE64_FACTOR).to.be.within(MAX_TRANSACTION_BYTES / 2, MAX_TRANSACTION_BYTES);
  });

  it('reads pages of cached results that are limited in bytes, not in characters', () => {
    const cache = new ResultCache(Number.POSITIVE_INFINITY);
    cache.append(JOB, 0, wideResults);
    const bytes = bytesOf(cache.read(JOB, 0, PAGE_BYTES));
    expect(bytes).to.be.within(MAX_PAGE_BYTES / 2, MAX_PAGE_BYTES);
  });

  it('bounds the memory of cached results in bytes, not in characters', () => {
    const cache = new ResultCache(bytesOf(wideResults) * 1.5);
    cache.append('older', 0, wideResults);
    cache.append(JOB, 0, wideResults);
    expect(cache.read('older', 0, PAGE_BYTES)).to.deep.equal([]);
  });

  it('counts results that fit one transaction together with a condition for each record', () => {
    const results = Array.from({ length: 100 }, (_, index) => `result ${index}`);
    expect(contents.countFittingResults(results) * 2 + 1).to.be.within(3, 100);
  });
});
