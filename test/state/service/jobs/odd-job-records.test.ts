/** Records of another writer among those of jobs. */
import { expect } from 'chai';
import { ok } from 'neverthrow';
import { listJobs, showJob } from '../../../../src/cli/job-summary.js';
import type { RecordRange, RecordStore, StoredRecord } from '../../../../src/protocol/record-store.js';
import {
  JOB_PARTITIONS,
  parseJobRecord,
  parsePartialText,
  partitionOf,
  RESULT_TABLE,
  resultAddress,
  TEXT_TABLE,
} from '../../../../src/state/service/jobs/job-record.js';
import { JobRepository } from '../../../../src/state/service/jobs/job-repository.js';
import { ODD_VALUES } from '../../../support/odd-records.js';

const JOB_ID = 'job-1';
const HEAD = {
  state: 'open',
  owner: { node: 'node-1', life: 'life-1' },
  epoch: 2,
  host: 'h',
  path: '/p/',
  tenant: 'tenant-a',
  model: 'model-a',
  tokens: 20,
  total: 2,
  chunks: 1,
  acceptedAtMs: 7.5,
};
const TEXT = { lastEventId: '3', events: ['a'], versions: [1], isWhole: false };
const RESULT = { id: 'item-1', state: 'dead', text: '', versions: [] };
const bytes = (content: unknown) => Buffer.from(JSON.stringify(content), 'utf8');

describe('records of jobs', () => {
  it('are read as earlier builds wrote them, and with the unknown fields of later ones', () => {
    const { model, tokens, tenant, ...first } = HEAD;
    expect(parseJobRecord(bytes(first))._unsafeUnwrap()).to.deep.equal({ ...first, model: '', tokens: 0 });
    for (const content of [
      HEAD,
      { ...HEAD, owner: null, state: 'ended', later: { of: ['a', 'newer', 'build'] } },
    ])
      expect(parseJobRecord(bytes(content))._unsafeUnwrap()).to.deep.equal(content);
    expect([model, tokens, tenant]).to.have.length(3);
    expect(parsePartialText(bytes(TEXT))._unsafeUnwrap()).to.deep.equal(TEXT);
  });

  const deepText = (content: object) =>
    Buffer.from(
      `${JSON.stringify(content).slice(0, -1)},"later":${'['.repeat(20_000)}${']'.repeat(20_000)}}`,
    );
  const wrongHeads: readonly (readonly [name: string, value: Buffer])[] = [
    ...ODD_VALUES,
    ['an owner without a node', bytes({ ...HEAD, owner: {} })],
    ['an owner that is text', bytes({ ...HEAD, owner: 'node-1' })],
    ['no owner', bytes({ ...HEAD, owner: undefined })],
    ['another state', bytes({ ...HEAD, state: 'broken' })],
    ['an epoch beyond 2^53', bytes({ ...HEAD, epoch: 2 ** 60 })],
    ['a negative total', bytes({ ...HEAD, total: -1 })],
    ['a time that is text', bytes({ ...HEAD, acceptedAtMs: 'x' })],
    ['a deep unknown field, which could not be written again', deepText(HEAD)],
  ];
  for (const [name, value] of wrongHeads)
    it(`are no head with ${name}`, () => {
      expect(parseJobRecord(value)._unsafeUnwrapErr().length).to.be.within(1, 200);
    });

  for (const [name, value] of [...ODD_VALUES, ['a deep unknown field', deepText(TEXT)] as const])
    it(`are no kept text with ${name}`, () => {
      expect(parsePartialText(value)._unsafeUnwrapErr().length).to.be.within(1, 200);
    });

  describe('among valid ones', () => {
    let reported: string[];
    let records: StoredRecord[];
    let repository: JobRepository;

    beforeEach(() => {
      reported = [];
      const partition = partitionOf(JOB_ID);
      const odd = (table: string, part: string, key: (index: number) => string): StoredRecord[] =>
        ODD_VALUES.map(([, value], index) => ({
          table,
          partition: part,
          key: key(index),
          value,
          version: 1,
        }));
      records = [
        { table: 'jobs', partition, key: JOB_ID, value: bytes(HEAD), version: 2 },
        ...JOB_PARTITIONS.flatMap((part) => odd('jobs', part, (index) => `odd-${index}`)),
        { table: TEXT_TABLE, partition, key: `${JOB_ID}/item-2`, value: bytes(TEXT), version: 2 },
        ...odd(TEXT_TABLE, partition, (index) => `${JOB_ID}/odd-${index}`),
        { ...resultAddress(JOB_ID, 0, 0, 1), value: bytes(RESULT), version: 2 },
        ...ODD_VALUES.map(([, value], index) => ({
          ...resultAddress(JOB_ID, index + 1, 0, 1),
          value,
          version: 2,
        })),
      ];
      const scan = async ({ table, partition: part, from = '', until = '\uffff' }: RecordRange) => ({
        records: records
          .filter((one) => one.table === table && one.partition === part)
          .filter(({ key }) => key >= from && key < until)
          .sort((one, other) => (one.key < other.key ? -1 : 1)),
        hasMore: false,
        version: 9,
      });
      const store = {
        limits: { recordBytes: 65_536, objectBytes: 1 },
        scan: async (range: RecordRange) => ok(await scan(range)),
      };
      repository = new JobRepository(store as unknown as RecordStore, ({ table, key }) =>
        reported.push(`${table} ${key}`),
      );
    });

    it('leave the heads and texts of others readable, each odd one reported', async () => {
      const { heads } = (await repository.list())._unsafeUnwrap();
      expect(heads.map(({ jobId }) => jobId)).to.deep.equal([JOB_ID]);
      expect(reported).to.have.length(JOB_PARTITIONS.length * ODD_VALUES.length);
      const texts = (await repository.contents.texts(JOB_ID))._unsafeUnwrap();
      expect([...texts]).to.deep.equal([['item-2', TEXT]]);
      expect(reported).to.have.length((JOB_PARTITIONS.length + 1) * ODD_VALUES.length);
    });

    it('leave the lists of the command line complete', async () => {
      const jobs = (await listJobs(repository, () => 0))._unsafeUnwrap();
      expect(jobs.map(({ id }) => id)).to.deep.equal([JOB_ID]);
      const shown = (await showJob(repository, JOB_ID, () => 0))._unsafeUnwrap();
      expect(shown).to.include({ listed: 1 + ODD_VALUES.length, dead: 1, keptTexts: 1 });
      expect(records.filter(({ table }) => table === RESULT_TABLE)).to.have.length(1 + ODD_VALUES.length);
    });
  });
});
