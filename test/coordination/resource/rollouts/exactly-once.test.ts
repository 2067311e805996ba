/** Guards against lost and duplicated samples when nodes, engines or the store fail. */
import { expect } from 'chai';
import { TrainerLoop, type TrainerReport } from '../../../../emulator/clients/trainer-loop.js';
import { EMULATOR_TOKENS } from '../../../../emulator/cluster.js';
import { EMULATOR_MODEL, EMULATOR_TRAINER } from '../../../../emulator/declarations.js';
import { sleep } from '../../../../src/common/clock.js';
import { killProcess } from '../../../support/processes.js';
import { type SystemBackend, type SystemNode, TestSystem } from '../../../support/system.js';
import { until } from '../../../support/wait.js';

const BOUND = 1;
const ROLLOUT_TASK = `rollouts/${EMULATOR_TRAINER}/0`;

describe('sample delivery', () => {
  let system: TestSystem;
  let runs = 0;

  beforeEach(async () => {
    system = new TestSystem({ nodes: 3, engines: 3, stalenessBound: BOUND });
    await system.start();
  });
  afterEach(() => system.stop());

  function trainer(steps: number): TrainerLoop {
    runs += 1;
    return new TrainerLoop({
      trainer: EMULATOR_TRAINER,
      token: EMULATOR_TOKENS.trainer,
      model: EMULATOR_MODEL,
      nodes: system.nodes.map((node) => node.address),
      stalenessBound: BOUND,
      steps,
      promptsPerStep: 12,
      samplesPerPrompt: 4,
      maxTokens: 200,
      seed: runs,
      firstVersion: 1,
      trainMs: 50,
      timeoutMs: 90_000,
      runName: `run-${runs}`,
    });
  }

  function expectExactlyOnce(report: TrainerReport): void {
    expect(report.missing).to.equal(0);
    expect(report.duplicates).to.equal(0);
    expect(report.wrongVersions).to.equal(0);
    expect(report.maxStaleness).to.be.at.most(BOUND);
  }

  /** The node that owns the shard of the trainer. */
  function owner(among: readonly SystemNode[] = system.nodes): Promise<SystemNode> {
    return until('a node owns the rollouts', async () => {
      for (const node of among) {
        const status = await system.operator(node).status();
        if (status.isOk() && status.value.node.duties.includes(ROLLOUT_TASK)) return node;
      }
      return undefined;
    });
  }

  it('delivers every sample exactly once when the owner is killed during a step', async () => {
    const running = trainer(3).run();
    const killed = await owner();
    await sleep(300);
    await killProcess(killed.process);
    expect(await owner(system.nodes.filter((node) => node !== killed))).not.to.equal(killed);
    await system.restartNode(killed);
    expectExactlyOnce(await running);
  });

  it('delivers every sample exactly once when the owner is paused past its lease expiry and then resumes', async () => {
    const running = trainer(3).run();
    const paused = await owner();
    await sleep(200);
    paused.process.child.kill('SIGSTOP');
    await owner(system.nodes.filter((node) => node !== paused));
    paused.process.child.kill('SIGCONT');
    expectExactlyOnce(await running);
  });

  it('delivers every sample exactly once when store responses are lost after the writes took effect', async () => {
    const running = trainer(3).run();
    for (let round = 0; round < 12; round += 1) {
      await system.control(system.platformAddress, '/control/table/faults', { loseAnswers: 4 });
      await sleep(150);
    }
    await system.control(system.platformAddress, '/control/table/faults', {});
    expectExactlyOnce(await running);
  });

  it('delivers every sample exactly once when the store is down and then slow during a step', async () => {
    const running = trainer(3).run();
    await owner();
    const set = (faults: object) =>
      Promise.all(
        ['table', 'store'].map((part) =>
          system.control(system.platformAddress, `/control/${part}/faults`, faults),
        ),
      );
    await set({ down: true });
    await sleep(2_500);
    await set({ slowMs: 300 });
    await sleep(2_000);
    await set({});
    expectExactlyOnce(await running);
  });

  it('delivers every sample exactly once when engines crash and interrupt their streams', async () => {
    const running = trainer(3).run();
    await owner();
    const [first, second] = system.engines as [SystemBackend, SystemBackend];
    await system.control(first.direct, '/control/cut', {});
    await killProcess(second.process);
    await system.control(first.direct, '/control/cut', {});
    expectExactlyOnce(await running);
  });
});
