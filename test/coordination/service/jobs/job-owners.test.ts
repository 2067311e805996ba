/** Selection of the owner of a model's next job: the previous owner, unless it is lost or shutting down. */
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

/** Heartbeats after which every node has read one of them. */
const HEARTBEATS_UNTIL_READ = 4;

function job(id: string, fields: Partial<TrainerJob> = {}): TrainerJob {
  return { id, host: HOST, path: JOB_PATH, model: MODEL, minVersion: 1, groups: 2, groupSize: 2, ...fields };
}

describe('selection of job owners', () => {
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

  const heartbeatsOf = (node: string) =>
    system.store.rows.read<{ count: number }>('sessions', `beat/${node}`)?.count ?? 0;

  const urlOf = (index: number) => nodes[index]?.url as string;

  /** Runs a job at the first node and waits until all other nodes have read its heartbeats. */
  async function runJobAtFirstNode(): Promise<void> {
    expect(await system.trainer.submit(urlOf(0), job('job-1'))).to.equal(202);
    await system.trainer.readAll([urlOf(0)], 'job-1', 4);
    const before = heartbeatsOf('node-1');
    await until(
      'all nodes have read heartbeats',
      () => heartbeatsOf('node-1') >= before + HEARTBEATS_UNTIL_READ,
    );
  }

  it('gives the next job of a model to the owner of the previous one, whichever node accepts it', async () => {
    await runJobAtFirstNode();
    expect(await system.trainer.submit(urlOf(1), job('job-2'))).to.equal(202);
    expect(ownerOf('job-2')).to.equal('node-1');
    expect(await system.trainer.readAll([urlOf(2)], 'job-2', 4)).to.have.length(4);
  });

  it('keeps a job of another model at the node that accepted it', async () => {
    await runJobAtFirstNode();
    expect(await system.trainer.submit(urlOf(1), job('job-2', { model: 'model-b' }))).to.equal(202);
    expect(ownerOf('job-2')).to.equal('node-2');
  });

  it('keeps a job at the accepting node when the owner of the previous one is gone', async () => {
    await runJobAtFirstNode();
    await kill(nodes[0] as ServiceNodeProcess);
    const killedAt = heartbeatsOf('node-1');
    expect(await system.trainer.submit(urlOf(1), job('job-2'))).to.equal(202);
    const results = await system.trainer.readAll([urlOf(2)], 'job-2', 4);
    expect(results).to.have.length(4);
    expect(await system.trainer.submit(urlOf(1), job('job-3'))).to.equal(202);
    expect(ownerOf('job-3')).to.not.equal('node-1');
    expect(heartbeatsOf('node-1')).to.equal(killedAt);
  });

  it('gives no job to a node that is shutting down, and runs the jobs that it still accepts', async () => {
    await runJobAtFirstNode();
    const leaving = nodes[0] as ServiceNodeProcess;
    leaving.child.kill('SIGTERM');
    await until('the node is not ready', async () => (await system.status(leaving.readyUrl)) === 503);
    expect(await system.trainer.submit(leaving.url, job('job-2'))).to.equal(202);
    expect(await system.trainer.submit(urlOf(1), job('job-3'))).to.equal(202);
    const results = await Promise.all(
      ['job-2', 'job-3'].map((id) => system.trainer.readAll([urlOf(1)], id, 4)),
    );
    expect(results.map((list) => list.length)).to.deep.equal([4, 4]);
    expect(leaving.child.exitCode, 'the node is still shutting down').to.equal(null);
  });
});
