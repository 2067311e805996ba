/** Records of another writer among those of usage. */
import { expect } from 'chai';
import { listWindows, showWindow } from '../../../../src/cli/usage-summary.js';
import { Random } from '../../../../src/common/random.js';
import {
  COUNT_TABLE,
  countAddress,
  parseCount,
  parseReport,
  REPORT_PARTITION,
  REPORT_TABLE,
  reportAddress,
} from '../../../../src/state/service/usage/usage-record.js';
import { UsageRepository } from '../../../../src/state/service/usage/usage-repository.js';
import { FaultyStore } from '../../../support/faulty-platform.js';
import { ODD_KEYS, ODD_VALUES } from '../../../support/odd-records.js';

const SEED = 7;
const WINDOW = 1_700;
const SOURCE = { node: 'node-1', life: 'life-1' };
const COUNT = { counts: { 'tenant-a': 3, __proto__x: 1 }, isClosed: true };
const REPORT = { counts: { 'tenant-a': 3 }, isReported: false, decidedBy: 'node-1' };
const bytes = (content: unknown) => Buffer.from(JSON.stringify(content), 'utf8');

describe('records of usage', () => {
  const wrong: readonly (readonly [name: string, value: Buffer])[] = [
    ...ODD_VALUES,
    ['a count beyond 2^53', bytes({ ...COUNT, ...REPORT, counts: { a: 2 ** 60 } })],
    ['a negative count', bytes({ ...COUNT, ...REPORT, counts: { a: -1 } })],
    ['a fractional count', bytes({ ...COUNT, ...REPORT, counts: { a: 1.5 } })],
    ['a list of counts', bytes({ ...COUNT, ...REPORT, counts: [3] })],
  ];
  for (const [name, value] of wrong)
    it(`are neither counts nor a report with ${name}`, () => {
      const { table, partition, key } = countAddress(WINDOW, SOURCE);
      const record = { table, partition, key, value, version: 1 };
      expect(parseCount(record)._unsafeUnwrapErr().length).to.be.within(1, 200);
      expect(parseReport(record)._unsafeUnwrapErr().length).to.be.within(1, 200);
    });

  for (const key of [...ODD_KEYS, '17', '1e3', '-00000000001', '9'.repeat(200)])
    it(`are neither under the key ${JSON.stringify(key.slice(0, 30))}`, () => {
      const record = { table: COUNT_TABLE, partition: '', key, version: 1 };
      expect(parseCount({ ...record, value: bytes(COUNT) }).isErr()).to.equal(true);
      expect(parseReport({ ...record, value: bytes(REPORT) }).isErr()).to.equal(true);
    });

  describe('among valid ones', () => {
    let store: FaultyStore;
    let reported: string[];
    let repository: UsageRepository;

    beforeEach(async () => {
      store = new FaultyStore(new Random(SEED));
      reported = [];
      repository = new UsageRepository(store, ({ key }) => reported.push(key));
      const saved = await repository.saveCounts(WINDOW, SOURCE, COUNT, 0, new AbortController().signal);
      expect(saved.isOk()).to.equal(true);
      expect((await repository.decide(WINDOW, REPORT.counts, 'node-1')).isOk()).to.equal(true);
    });

    async function write(table: string, partition: string, key: string, value: Buffer): Promise<void> {
      const writes = [{ table, partition, key, value }];
      await store.transact({ conditions: [], writes, removals: [] });
    }

    it('leave counts and reports readable, also for the command line', async () => {
      const { partition } = countAddress(WINDOW, SOURCE);
      for (const [index, [, value]] of ODD_VALUES.entries()) {
        await write(COUNT_TABLE, partition, `${String(WINDOW).padStart(12, '0')}/odd-${index}/life`, value);
        await write(REPORT_TABLE, REPORT_PARTITION, reportAddress(WINDOW + 1 + index).key, value);
      }
      const counts = (await repository.countsOf(WINDOW, WINDOW))._unsafeUnwrap();
      expect(counts.map(({ node }) => node)).to.deep.equal(['node-1']);
      const reports = (await repository.reports())._unsafeUnwrap();
      expect(reports.map(({ window }) => window)).to.deep.equal([WINDOW]);
      expect(reported).to.have.length(2 * ODD_VALUES.length);
      expect((await listWindows(repository))._unsafeUnwrap()).to.have.length(1);
      expect((await showWindow(repository, WINDOW))._unsafeUnwrap()?.nodes).to.have.length(1);
    });

    for (const [name, value] of ODD_VALUES)
      it(`do not hold a window back whose report is ${name}: it is decided in its place`, async () => {
        await write(REPORT_TABLE, REPORT_PARTITION, reportAddress(WINDOW + 1).key, value);
        const decided = (await repository.decide(WINDOW + 1, REPORT.counts, 'node-2'))._unsafeUnwrap();
        expect(decided).to.deep.include({ window: WINDOW + 1, counts: REPORT.counts, decidedBy: 'node-2' });
        const again = (await repository.decide(WINDOW + 1, {}, 'node-3'))._unsafeUnwrap();
        expect(again.decidedBy).to.equal('node-2');
      });
  });
});
