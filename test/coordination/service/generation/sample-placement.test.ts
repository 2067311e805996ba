/**
 * Where and when the samples of a job run: longest first, and moved away from a replica that becomes slow.
 */
import { expect } from 'chai';
import { expectWhole, job } from '../../../support/jobs.js';
import { ServiceSystem, usualConfiguration } from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

/** Intervals between events. */
const FAST_MS = 5;
const BUSY_MS = 60;
const STUCK_MS = 1_000;

describe('placement of samples', () => {
  let system: ServiceSystem;

  beforeEach(async () => {
    system = await ServiceSystem.start();
  });

  afterEach(() => system.stop());

  async function startNode(): Promise<string> {
    const node = await system.addNode('node-1');
    await system.untilReady(node);
    return node.url;
  }

  it('starts samples in the order of their estimated lengths, longest first', async () => {
    const engine = await system.addEngine({ slots: 1 });
    await system.addApplication();
    system.configure(usualConfiguration(2, { jobs: {} }, 1));
    const url = await startNode();
    const submitted = job('job-1', { groups: 4, groupSize: 1, estimates: [10, 40, 20, 30] });
    await system.trainer.submit(url, submitted);
    expectWhole(await system.trainer.readAll([url], 'job-1', 4), submitted);
    const started = engine.received.map(({ id }) => id);
    expect(started).to.deep.equal([1, 3, 2, 0].map((index) => `job-1-item-${index}`));
  });

  it('moves a sample to a faster replica, which continues after the last event', async () => {
    const events = 40;
    const engines = await Promise.all([system.addEngine({ events }), system.addEngine({ events })]);
    await system.addApplication();
    const url = await startNode();
    const first = job('job-1', { groups: 8, groupSize: 1 });
    await system.trainer.submit(url, first);
    await system.trainer.readAll([url], 'job-1', 8);
    for (const engine of engines) engine.workMs = BUSY_MS;
    const second = job('job-2', { groups: 1, groupSize: 1 });
    await system.trainer.submit(url, second);
    const slow = await until('the sample has started', () => engines.find(({ running }) => running > 0));
    for (const engine of engines) engine.workMs = engine === slow ? STUCK_MS : FAST_MS;
    expectWhole(await system.trainer.readAll([url], 'job-2', 1), second, events);
    const runs = engines
      .flatMap(({ received }) => received.filter(({ id }) => id === 'job-2-item-0'))
      .sort((left, right) => left.atMs - right.atMs);
    expect(runs.length).to.be.greaterThan(1);
    expect(runs[0]?.lastEventId).to.equal(undefined);
    for (const run of runs.slice(1)) expect(Number(run.lastEventId)).to.be.greaterThan(0);
    await until('the slow replica has stopped generating', () => slow.running === 0);
  });
});
