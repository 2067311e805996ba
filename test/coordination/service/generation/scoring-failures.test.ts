/** Failures of a scoring call that say nothing about the call itself, so that its item stays due. */
import { expect } from 'chai';
import { itemIds } from '../../../../emulator/clients/job-trainer.js';
import { expectWhole, job } from '../../../support/jobs.js';
import { ServiceSystem } from '../../../support/service-system.js';
import { until } from '../../../support/wait.js';

/** Attempts that the usual routes allow. */
const ROUTE_ATTEMPTS = 3;
const STATUS_INTERNAL_ERROR = 500;
const STATUS_GATEWAY_TIMEOUT = 504;

describe('SampleScorer', () => {
  let system: ServiceSystem;
  const submitted = job('job-1');

  beforeEach(async () => {
    system = await ServiceSystem.start();
  });

  afterEach(() => system.stop());

  async function submitWhileFailing(status: number) {
    await system.addEngine();
    const application = await system.addApplication();
    application.failWith = status;
    const node = await system.addNode('node-1');
    await system.untilReady(node);
    expect(await system.trainer.submit(node.url, submitted)).to.equal(202);
    const callsOf = (itemId: string) =>
      application.received.filter(({ id }) => id === `${itemId}-score`).length;
    return { node, application, fewestCalls: () => Math.min(...itemIds(submitted).map(callsOf)) };
  }

  it('repeats calls that replicas did not answer in time more often than their route allows attempts', async () => {
    const { node, application, fewestCalls } = await submitWhileFailing(STATUS_GATEWAY_TIMEOUT);
    await until('each call was made more often', () => fewestCalls() > ROUTE_ATTEMPTS);
    application.failWith = undefined;
    const results = await system.trainer.readAll([node.url], submitted.id, itemIds(submitted).length);
    expectWhole(results, submitted);
  });

  it('gives an item up once its call has failed as often as its route allows attempts', async () => {
    const { node, fewestCalls } = await submitWhileFailing(STATUS_INTERNAL_ERROR);
    const results = await system.trainer.readAll([node.url], submitted.id, itemIds(submitted).length);
    expect(results.map(({ state }) => state)).to.deep.equal(results.map(() => 'dead'));
    expect(fewestCalls()).to.equal(ROUTE_ATTEMPTS);
  });
});
