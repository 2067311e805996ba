/** Runs `platform/usage.ts` as a child process against a running system. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { resolve } from 'node:path';
import { expect } from 'chai';
import { REPORT_PARTITION, REPORT_TABLE, windowKey } from '../../src/state/service/usage/usage-record.js';
import { kill, ServiceSystem } from '../support/service-system.js';
import { bearing, tenantConfiguration } from '../support/tenants.js';
import { until } from '../support/wait.js';

const PROGRAM = resolve(import.meta.dirname, '../../platform/usage.js');
const WINDOW_MS = 1_000;
const DUE_MS = 5_000;

describe('platform/usage', () => {
  let system: ServiceSystem;

  beforeEach(async () => {
    system = await ServiceSystem.start();
  });

  afterEach(() => system.stop());

  async function run(...args: string[]): Promise<{ code: number; out: string }> {
    const child = spawn(process.execPath, [PROGRAM, ...args, '--store', system.address]);
    let out = '';
    child.stdout.on('data', (chunk) => {
      out += chunk;
    });
    const [code] = (await once(child, 'close')) as [number];
    return { code, out };
  }

  /** The node is killed first, because it removes counts a few windows after they were reported. */
  it('lists windows and shows a window with the counts of each process', async () => {
    system.configure(tenantConfiguration(2));
    await system.reportUsage(WINDOW_MS, DUE_MS);
    await system.addApplication();
    const node = await system.addNode('node-1');
    await system.untilReady(node);
    await system.lookup(node, 'request-1', bearing('small-key-1'));
    const window = await until('the request is reported', () =>
      system.usage.reports.find(({ counts }) => counts.small === 1),
    );
    await until('the report is stored as accepted', () =>
      system.store.rows
        .scan(REPORT_TABLE, REPORT_PARTITION, windowKey(window.window), windowKey(window.window + 1))
        .some((row) => Buffer.from(row.value ?? '', 'base64').includes('"isReported":true')),
    );
    await kill(node);
    const list = await run('list');
    expect(list.code).to.equal(0);
    expect(list.out).to.match(new RegExp(`${window.window} +(reported|decided) +node-1 +1 +1`));
    const shown = await run('show', String(window.window));
    expect(shown.out).to.match(/reported +node-1 +small +1/);
    expect(shown.out).to.match(/closed +node-1 +small +1/);
    expect((await run('show', '7')).code).to.equal(4);
    system.store.mode = 'busy';
    expect((await run('list', '-o', 'json')).code).to.equal(5);
  });
});
