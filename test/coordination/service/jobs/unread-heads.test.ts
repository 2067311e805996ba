/** Jobs while a node cannot read all heads of jobs, though the store answers it. */
import { expectWhole, job } from '../../../support/jobs.js';
import { ServiceSystem, usualConfiguration } from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

/** Any partition of the table of jobs, here that of the crash reports. */
const UNREADABLE_PARTITION = 'fatal-runs';

describe('jobs at a node that cannot read all heads', () => {
  let system: ServiceSystem;

  beforeEach(async () => {
    system = await ServiceSystem.start();
    system.configure(usualConfiguration(2, { score: { timeoutMs: 15_000 } }));
  });

  afterEach(() => system.stop());

  it('are finished though scoring lasts longer than a confirmation by the last write', async () => {
    await system.addEngine();
    await system.addApplication({ slots: 2, workMs: 1_700 });
    system.store.unreadablePartition = UNREADABLE_PARTITION;
    const node = await system.addNode('node-1');
    await system.untilReady(node);
    const submitted = job('job-1');
    await until(
      'the job is accepted',
      async () => (await system.trainer.submit(node.url, submitted)) === 202,
    );
    expectWhole(await system.trainer.readAll([node.url], submitted.id, 6), submitted);
  }).timeout(20_000);
});
