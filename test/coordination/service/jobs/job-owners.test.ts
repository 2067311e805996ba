/** Who runs the next job of a model: the owner of the one before, as long as it is at work and stays. */
import { expect } from 'chai';
import type { TrainerJob } from '../../../../emulator/clients/job-trainer.js';
import {
  HOST,
  JOB_PATH,
  kill,
  MODEL,
  type ServiceNodeProcess,
  ServiceSystem,
} from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

/** Beats after which every node has seen the process at work. */
const SEEN_BEATS = 4;

function job(id: string, fields: Partial<TrainerJob> = {}): TrainerJob {
  return { id, host: HOST, path: JOB_PATH, model: MODEL, minVersion: 1, groups: 2, groupSize: 2, ...fields };
}

describe('owners of jobs', () => {
  let system: ServiceSystem;
  let nodes: ServiceNodeProcess[];

  beforeEach(async () => {
    system = await ServiceSystem.start();
    await Promise.all([system.addEngine(), system.addEngine()]);
    nodes = await Promise.all(['node-1', 'node-2', 'node-3'].map((name) => system.addNode(name)));
    await Promise.all(nodes.map((node) => system.untilReady(node)));
  });

  afterEach(() => system.stop());

  const headOf = (jobId: string) =>
    Array.from({ length: 8 }, (_, index) => `jobs-${index}`)
      .flatMap((part) => system.store.rows.scan('jobs', part, jobId, `${jobId}~`))
      .map((row) => JSON.parse(Buffer.from(row.value ?? '', 'base64').toString()))
      .at(0) as { state: string; owner: { node: string } | null } | undefined;

  const ownerOf = (jobId: string) => headOf(jobId)?.owner?.node;

  const beatsOf = (node: string) =>
    system.store.rows.read<{ count: number }>('sessions', `beat/${node}`)?.count ?? 0;

  const urlOf = (index: number) => nodes[index]?.url as string;

  /** A job that goes on at the first node, whose beats all others have seen. */
  async function ownedByFirst(): Promise<void> {
    expect(await system.trainer.submit(urlOf(0), job('job-1'))).to.equal(202);
    await system.trainer.readAll([urlOf(0)], 'job-1', 4);
    const before = beatsOf('node-1');
    await until('all nodes have seen beats', () => beatsOf('node-1') >= before + SEEN_BEATS);
  }

  it('gives the next job of a model to the owner of the one before, wherever it is submitted', async () => {
    await ownedByFirst();
    expect(await system.trainer.submit(urlOf(1), job('job-2'))).to.equal(202);
    expect(ownerOf('job-2')).to.equal('node-1');
    expect(await system.trainer.readAll([urlOf(2)], 'job-2', 4)).to.have.length(4);
  });

  it('keeps a job of another model at the node that accepted it', async () => {
    await ownedByFirst();
    expect(await system.trainer.submit(urlOf(1), job('job-2', { model: 'model-b' }))).to.equal(202);
    expect(ownerOf('job-2')).to.equal('node-2');
  });

  it('keeps a job where it was accepted when the owner of the one before is gone', async () => {
    await ownedByFirst();
    await kill(nodes[0] as ServiceNodeProcess);
    const killedAt = beatsOf('node-1');
    expect(await system.trainer.submit(urlOf(1), job('job-2'))).to.equal(202);
    const results = await system.trainer.readAll([urlOf(2)], 'job-2', 4);
    expect(results).to.have.length(4);
    expect(await system.trainer.submit(urlOf(1), job('job-3'))).to.equal(202);
    expect(ownerOf('job-3')).to.not.equal('node-1');
    expect(beatsOf('node-1')).to.equal(killedAt);
  });

  it('gives nothing to a leaving node, and runs what that node still accepts', async () => {
    await ownedByFirst();
    const leaving = nodes[0] as ServiceNodeProcess;
    leaving.child.kill('SIGTERM');
    await until('it has said that it leaves', async () => (await system.status(leaving.readyUrl)) === 503);
    expect(await system.trainer.submit(leaving.url, job('job-2'))).to.equal(202);
    expect(await system.trainer.submit(urlOf(1), job('job-3'))).to.equal(202);
    const results = await Promise.all(
      ['job-2', 'job-3'].map((id) => system.trainer.readAll([urlOf(1)], id, 4)),
    );
    expect(results.map((list) => list.length)).to.deep.equal([4, 4]);
    expect(leaving.child.exitCode, 'the node is still on its way out').to.equal(null);
  });
});
