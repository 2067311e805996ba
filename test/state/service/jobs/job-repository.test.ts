/**
 * Heads of jobs, read while reads of the store are old.
 *
 * What users would have seen: 404 for a job that had been accepted. The order of events: the store loses its history, and
 * reads show the rows as they were; a node accepts a job; another node, which does not know it yet, reads its head and finds
 * none. The cause: an old read was taken as proof that a record is not there, by a node that had had no newer answer. The
 * evidence: a soak of 84 nodes in which one answered 404 for a job 40 ms after another had accepted it, while the others said
 * that they could not be certain.
 */
import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import { Random } from '../../../../src/common/random.js';
import {
  type RecordPage,
  type RecordRange,
  RecordStoreError,
} from '../../../../src/protocol/record-store.js';
import { JobRepository } from '../../../../src/state/service/jobs/job-repository.js';
import { FaultyStore } from '../../../support/faulty-platform.js';

const JOB = 'job-1';
const OWNER = { node: 'node-1', life: 'life-1' };
const TIMEOUT_MS = 5_000;
const SUBMITTED_JOB = {
  jobId: JOB,
  host: 'service.example',
  path: '/jobs/',
  tenant: undefined,
  model: 'model-a',
  tokens: 10,
  total: 1,
  submission: Buffer.from('{}'),
};

/** Its reads of ranges show nothing, or fail as too old. */
class StaleScanStore extends FaultyStore {
  readonly isStalenessReported: boolean;

  constructor(isStalenessReported: boolean) {
    super(new Random(1));
    this.isStalenessReported = isStalenessReported;
  }

  override async scan(_range: RecordRange) {
    if (this.isStalenessReported)
      return err(new RecordStoreError('stale', 'none', 'older than an answer before'));
    return ok<RecordPage, RecordStoreError>({ records: [], hasMore: false, version: 0 });
  }
}

describe('the head of a job while reads are old', () => {
  for (const isStalenessReported of [false, true])
    it(`is found although it is not among the records read${isStalenessReported ? ', which are known to be old' : ''}`, async () => {
      const repository = new JobRepository(new StaleScanStore(isStalenessReported));
      (await repository.accept(SUBMITTED_JOB, OWNER, TIMEOUT_MS))._unsafeUnwrap();
      const head = (await repository.read(JOB))._unsafeUnwrap();
      expect(head?.record.total).to.equal(1);
      expect((await repository.read('job-of-nobody'))._unsafeUnwrap()).to.equal(undefined);
    });
});
