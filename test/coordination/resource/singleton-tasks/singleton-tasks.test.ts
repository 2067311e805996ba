/** Distribution of singleton tasks over the nodes of the fleet. */
import { expect } from 'chai';
import { EMULATOR_MODEL, EMULATOR_TRAINER } from '../../../../emulator/declarations.js';
import { TestSystem } from '../../../support/system.js';
import { until } from '../../../support/wait.js';

const SHARDS = 12;

describe('singleton tasks', () => {
  const system = new TestSystem({
    nodes: 1,
    engines: 1,
    specs: { [`Trainer/${EMULATOR_TRAINER}`]: { shards: SHARDS } },
  });

  before(() => system.start());
  after(() => system.stop());

  async function rolloutTasks(): Promise<string[][]> {
    const all = await Promise.all(system.nodes.map((node) => system.operator(node).status()));
    return all.map((status) =>
      status._unsafeUnwrap().node.duties.filter((one) => one.startsWith('rollouts/')),
    );
  }

  it('distributes tasks to nodes that join later, with one holder for each task', async () => {
    await until('the first node runs all tasks', async () => (await rolloutTasks())[0]?.length === SHARDS);
    await system.addNodes(['node-1', 'node-2']);
    await until('each node runs some tasks', async () => {
      const held = await rolloutTasks();
      const all = held.flat();
      return held.every((one) => one.length > 0) && all.length === SHARDS && new Set(all).size === SHARDS;
    });
  });

  it('completes a rollout that is submitted after the handover', async () => {
    const [node] = system.nodes as [(typeof system.nodes)[0]];
    const submission = {
      rolloutId: 'r',
      model: EMULATOR_MODEL,
      prompts: ['p'],
      samplesPerPrompt: 24,
      maxTokens: 20,
    };
    expect((await system.trainer(node).submit(submission)).isOk()).to.equal(true);
    await until('all samples are ready', async () => {
      const progress = await system.trainer(node).progress('r');
      return progress.isOk() && progress.value.ready === 24;
    });
  });
});
