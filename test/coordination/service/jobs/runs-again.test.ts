/** Guards against an open job that its owner no longer runs, while its heartbeats keep other nodes from claiming it. */
import { expect } from 'chai';
import type { Transaction } from '../../../../emulator/store/row-store.js';
import { RunRestarts } from '../../../../src/coordination/service/jobs/run-restarts.js';
import { expectWhole, job } from '../../../support/jobs.js';
import { ServiceSystem } from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

/** More entries than a transaction may have. */
const TOO_MANY_ENTRIES = 101;

function listsResults({ put }: Transaction): boolean {
  return (put ?? []).some(({ table }) => table === 'job-results');
}

/** The transaction as one that the store rejects. */
function invalid(transaction: Transaction): Transaction {
  const [row] = transaction.put as [NonNullable<Transaction['put']>[number]];
  return { ...transaction, put: Array.from({ length: TOO_MANY_ENTRIES }, () => row) };
}

describe('jobs of an owner', () => {
  let system: ServiceSystem;

  beforeEach(async () => {
    system = await ServiceSystem.start();
    await Promise.all([system.addEngine({ events: 8, workMs: 30 }), system.addApplication()]);
  });

  afterEach(() => system.stop());

  it('are run again after the store has rejected a write of results', async () => {
    let rejections = 2;
    system.store.altered = (transaction) => {
      if (rejections === 0 || !listsResults(transaction)) return transaction;
      rejections -= 1;
      return invalid(transaction);
    };
    const node = await system.addNode('node-1');
    await system.untilReady(node);
    const submitted = job('job-1');
    expect(await system.trainer.submit(node.url, submitted)).to.equal(202);
    expectWhole(await system.trainer.readAll([node.url], 'job-1', 6), submitted, 8);
    const changes = node.log.filter(({ message }) => message === 'job-changed');
    const ends = changes.filter(({ context }) => context.change === 'write-rejected');
    expect(ends).to.have.length(2);
    const epochs = changes
      .filter(({ context }) => context.change === 'running')
      .map(({ context }) => context.epoch);
    expect(epochs, 'late writes of an earlier run must fail').to.deep.equal([1, 2, 3]);
  });

  it('are released by a planned stop although they have no run', async () => {
    const node = await system.addNode('node-1');
    await system.untilReady(node);
    system.store.altered = (transaction) => (listsResults(transaction) ? invalid(transaction) : transaction);
    expect(await system.trainer.submit(node.url, job('job-1'))).to.equal(202);
    await until('its pause between runs is long', () => {
      const ends = node.log.filter(({ context }) => context.change === 'write-rejected');
      return ends.length >= 5;
    });
    node.child.kill('SIGTERM');
    await until('the job is released', () =>
      node.log.some(({ context }) => context.jobId === 'job-1' && context.change === 'handed back'),
    );
    system.store.altered = undefined;
    const next = await system.addNode('node-2');
    expectWhole(await system.trainer.readAll([next.url], 'job-1', 6), job('job-1'), 8);
  });
});

describe('RunRestarts', () => {
  const FIRST_PAUSE_MS = 100;
  const LONGEST_PAUSE_MS = 5_000;
  let nowMs: number;
  let restarts: RunRestarts;

  beforeEach(() => {
    nowMs = 0;
    restarts = new RunRestarts(() => nowMs);
  });

  const isRestarted = () => restarts.reasonToRestart('job') !== undefined;

  it('restarts a run at once that was stopped, and one that never was', () => {
    expect(isRestarted()).to.equal(true);
    restarts.recordEnd('job', 'stopped');
    expect(isRestarted()).to.equal(true);
    expect(restarts.isDue('job')).to.equal(true);
  });

  it('knows under which version of the head a job was last run, also after the job was forgotten', () => {
    restarts.recordStart('job', 5);
    restarts.forget('job');
    expect([4, 5, 6].map((version) => restarts.wasRunUnder('job', version))).to.deep.equal([
      false,
      true,
      false,
    ]);
  });

  it('never restarts a run that has listed all results', () => {
    restarts.recordEnd('job', 'finished');
    nowMs = Number.MAX_SAFE_INTEGER;
    expect(isRestarted()).to.equal(false);
    expect(restarts.isDue('job')).to.equal(false);
  });

  for (const end of ['write-rejected', 'unreadable'] as const)
    it(`restarts a run after growing, bounded pauses: ${end}`, () => {
      for (const pauseMs of [FIRST_PAUSE_MS, 2 * FIRST_PAUSE_MS]) {
        restarts.recordEnd('job', end);
        nowMs += pauseMs - 1;
        expect(isRestarted()).to.equal(false);
        nowMs += 1;
        expect(isRestarted()).to.equal(true);
      }
      for (let run = 0; run < 20; run += 1) restarts.recordEnd('job', end);
      nowMs += LONGEST_PAUSE_MS;
      expect(isRestarted()).to.equal(true);
    });
});
