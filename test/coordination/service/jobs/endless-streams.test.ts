/** An engine that sends bytes without end must cost an item one attempt. */
import type { EndlessKind } from '../../../../emulator/replica/endless-answers.js';
import type { ReplicaServer } from '../../../../emulator/replica/replica-server.js';
import { expectWhole, job } from '../../../support/jobs.js';
import {
  MODEL,
  type ServiceNodeProcess,
  ServiceSystem,
  usualConfiguration,
} from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

/** Time between two pieces of a stream that trickles, milliseconds; 0: at full speed. */
const PACE_MS = 50;
const SCORING_TIMEOUT_MS = 700;

describe('endless streams of engines', () => {
  let system: ServiceSystem;
  let node: ServiceNodeProcess;

  beforeEach(async () => {
    system = await ServiceSystem.start();
  });
  afterEach(() => system.stop());

  async function startNode(): Promise<void> {
    node = await system.addNode('node-1');
    await system.untilReady(node);
  }

  /** Attempts that ended since their text was too large. */
  const attemptsCut = () =>
    node.log.filter(({ context }) => String(context.detail).includes('exceeds the size limit')).length;

  /** Runs a job while one of several replicas answers endlessly; resolves once that was cut. */
  async function runBeside(bad: ReplicaServer, kind: EndlessKind, paceMs: number): Promise<void> {
    Object.assign(bad, { endless: kind, endlessPaceMs: paceMs });
    const submitted = job('job-1');
    await system.trainer.submit(node.url, submitted);
    await until('the replica was called', async () => bad.endlessCalls > 0);
    expectWhole(await system.trainer.readAll([node.url], 'job-1', 6), submitted);
    await until('its connections are closed', async () => bad.connectionCount() === 0);
  }

  for (const [kind, paceMs] of [
    ['comments', 0],
    ['event that never ends', 0],
    ['line that never ends', 0],
    ['comments', PACE_MS],
    ['line that never ends', PACE_MS],
  ] as const)
    it(`cost an attempt, their items go on elsewhere: ${kind}, ${paceMs} ms`, async () => {
      const [bad] = await Promise.all([system.addEngine(), system.addEngine(), system.addApplication()]);
      await startNode();
      await runBeside(bad, kind, paceMs);
    });

  it('of valid events are bounded in size, and the item begins anew', async () => {
    const [bad] = await Promise.all([system.addEngine(), system.addApplication()]);
    await startNode();
    bad.endless = 'events';
    const submitted = job('job-1');
    await system.trainer.submit(node.url, submitted);
    await until('an attempt was cut', async () => bad.endlessCalls > 0 && attemptsCut() > 0);
    bad.endless = undefined;
    expectWhole(await system.trainer.readAll([node.url], 'job-1', 6), submitted);
  });

  it('to scoring calls cost an attempt, the items are scored elsewhere', async () => {
    const [bad] = await Promise.all([system.addApplication(), system.addApplication(), system.addEngine()]);
    system.configure(usualConfiguration(2, { score: { timeoutMs: SCORING_TIMEOUT_MS } }));
    await startNode();
    await runBeside(bad, 'chunk extension', PACE_MS);
  });

  it('to reports and load commands end in time, and the version is loaded afterwards', async () => {
    const engine = await system.addEngine();
    await startNode();
    engine.endless = 'chunked body';
    system.nameVersion(2);
    await until(
      'a report was endless',
      async () => engine.endlessCalls > 0 && engine.connectionCount() === 0,
    );
    engine.endless = undefined;
    await until('the version is loaded', async () => engine.versions.get(MODEL) === 2);
  });
});
