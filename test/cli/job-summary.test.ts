/** Runs `platform/jobs.ts` as a child process against a running system. */
import { spawn, spawnSync } from 'node:child_process';
import { once } from 'node:events';
import { resolve } from 'node:path';
import { expect } from 'chai';
import { HOST, JOB_PATH, MODEL, ServiceSystem } from '../support/service-system.js';

const PROGRAM = resolve(import.meta.dirname, '../../platform/jobs.js');

describe('platform/jobs', () => {
  let system: ServiceSystem;

  beforeEach(async () => {
    system = await ServiceSystem.start();
  });

  afterEach(() => system.stop());

  async function run(...args: string[]): Promise<{ code: number; out: string; error: string }> {
    const child = spawn(process.execPath, [PROGRAM, ...args, '--store', system.address]);
    let out = '';
    let error = '';
    child.stdout.on('data', (chunk) => {
      out += chunk;
    });
    child.stderr.on('data', (chunk) => {
      error += chunk;
    });
    const [code] = (await once(child, 'close')) as [number];
    return { code, out, error };
  }

  it('lists jobs and shows a job with its owner and the number of results', async () => {
    await Promise.all([system.addEngine(), system.addApplication()]);
    const node = await system.addNode('node-1');
    await system.untilReady(node);
    const job = {
      id: 'job-1',
      host: HOST,
      path: JOB_PATH,
      model: MODEL,
      minVersion: 1,
      groups: 2,
      groupSize: 2,
    };
    expect(await system.trainer.submit(node.url, job)).to.equal(202);
    await system.trainer.readAll([node.url], 'job-1', 4);
    const table = await run('list');
    expect(table.code).to.equal(0);
    expect(table.out).to.match(/JOB +STATE +OWNER/);
    expect(table.out).to.match(/job-1 +open +node-1 +1 +model-a +4/);
    const shown = await run('show', 'job-1', '--output', 'json');
    expect(JSON.parse(shown.out)).to.include({ id: 'job-1', owner: 'node-1', items: 4, listed: 4, dead: 0 });
    expect((await run('list', '-o', 'yaml')).out).to.contain('id: job-1');
  });

  it('reports the kind of error by its exit code', async () => {
    expect((await run('show', 'no-such-job')).code).to.equal(4);
    expect((await run('list', '--output', 'xml')).code).to.equal(2);
    system.store.mode = 'busy';
    const away = await run('list');
    expect(away.code).to.equal(5);
    expect(away.error).to.contain('503');
    const help = spawnSync(process.execPath, [PROGRAM, 'show', '--help'], { encoding: 'utf8' });
    expect(help.status).to.equal(0);
    expect(help.stdout).to.contain('IP:PORT');
  });
});
