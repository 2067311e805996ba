/** Guards against a 404 for an accepted job when a stale scan does not show its head. */
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

/** A store whose scans return nothing, or fail as stale. */
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

describe('JobRepository while scans are stale', () => {
  for (const isStalenessReported of [false, true])
    it(`finds the head of a job that a scan does not show${isStalenessReported ? ' because it fails as stale' : ''}`, async () => {
      const repository = new JobRepository(new StaleScanStore(isStalenessReported));
      (await repository.accept(SUBMITTED_JOB, OWNER, TIMEOUT_MS))._unsafeUnwrap();
      const head = (await repository.read(JOB))._unsafeUnwrap();
      expect(head?.record.total).to.equal(1);
      expect((await repository.read('job-of-nobody'))._unsafeUnwrap()).to.equal(undefined);
    });
});
