/** Loading and reporting of weight versions: approvals, failed loads, fencing and residency. */
import { expect } from 'chai';
import { namesTrueVersions, nextSequence } from '../../../../emulator/clients/trainer-loop.js';
import { EMULATOR_MODEL, EMULATOR_MODEL_SERVICE } from '../../../../emulator/declarations.js';
import { EngineClient } from '../../../../src/protocol/resource/engine.js';
import type { Sample } from '../../../../src/protocol/resource/trainer.js';
import { type SystemBackend, type SystemNode, TestSystem } from '../../../support/system.js';
import { until } from '../../../support/wait.js';

describe('weight versions', () => {
  const system = new TestSystem({
    nodes: 2,
    engines: 3,
    stalenessBound: 5,
    stepMs: 6,
    medianTokens: 150,
    specs: { [`Model/${EMULATOR_MODEL}`]: { requireApproval: true } },
  });
  let node: SystemNode;
  let engines: EngineClient;
  let cursor = 1;
  let previous: { attempt: number; digest: string } | undefined;

  before(async () => {
    await system.start();
    [node] = system.nodes as [SystemNode];
    engines = new EngineClient(system.client);
    (await system.approver(node).approve(`${EMULATOR_MODEL}-v1`))._unsafeUnwrap();
  });
  after(() => system.stop());

  async function versions(): Promise<string[]> {
    const states = await Promise.all(system.engines.map((engine) => engines.state(engine.direct)));
    return states.map((state) => [...new Set(state._unsafeUnwrap().shardVersions)].join('+'));
  }

  const untilAllAt = (version: number) =>
    until(`all engines have version ${version}`, async () =>
      (await versions()).every((one) => one === String(version)),
    );

  async function publish(version: number): Promise<void> {
    (await system.trainer(node).publish(EMULATOR_MODEL, version, `w/${version}`))._unsafeUnwrap();
  }

  async function collect(rolloutId: string, count: number): Promise<Sample[]> {
    const samples: Sample[] = [];
    while (samples.length < count) {
      const request = {
        cursor,
        sequence: nextSequence(),
        versions: { [EMULATOR_MODEL]: 1 },
        previous,
        waitMs: 2_000,
      };
      const batch = (await system.trainer(node).draw(request))._unsafeUnwrap();
      if (batch.samples.length === 0) continue;
      samples.push(...batch.samples.filter((sample) => sample.rolloutId === rolloutId));
      previous = { attempt: batch.attempt, digest: batch.digest };
      cursor += 1;
    }
    return samples;
  }

  it('loads no version without an approval, and accepts approvals only from an approver', async () => {
    await publish(2);
    const operator = await system.operator(node).approve(`${EMULATOR_MODEL}-v2`);
    expect(operator._unsafeUnwrapErr().detail).to.include({ code: 'forbidden' });
    const trainerApproves = await system
      .operator(node)
      .patch('ModelVersion', `${EMULATOR_MODEL}-v2`, { spec: { approvals: [{ by: 'me', at: 'now' }] } });
    expect(trainerApproves._unsafeUnwrap().spec.approvals).to.equal(undefined);
    expect((await versions()).every((one) => one === '1')).to.equal(true);
    (await system.approver(node).approve(`${EMULATOR_MODEL}-v2`, 'reviewed'))._unsafeUnwrap();
    await untilAllAt(2);
  });

  it('reports the version of each token when the version changes during a sample', async () => {
    await system.trainer(node).submit({
      rolloutId: 'swapped',
      model: EMULATOR_MODEL,
      prompts: ['a', 'b'],
      samplesPerPrompt: 12,
      maxTokens: 600,
    });
    await until('samples are being generated', async () => {
      const status = (await system.operator(system.nodes[0] as SystemNode).status())._unsafeUnwrap();
      const other = (await system.operator(system.nodes[1] as SystemNode).status())._unsafeUnwrap();
      return [...status.backends, ...other.backends].some((one) => one.inFlight > 2);
    });
    await publish(3);
    (await system.approver(node).approve(`${EMULATOR_MODEL}-v3`))._unsafeUnwrap();
    const samples = await collect('swapped', 24);
    for (const sample of samples) expect(namesTrueVersions(sample)).to.equal(true);
    expect(samples.some((sample) => sample.segments.length > 1)).to.equal(true);
    await untilAllAt(3);
  });

  it('quarantines an engine after failed loads, and uses it again once the version is loaded', async () => {
    const [failing] = system.engines as [SystemBackend];
    await system.control(failing.direct, '/control/fail-swaps', { count: 2 });
    await publish(4);
    (await system.approver(node).approve(`${EMULATOR_MODEL}-v4`))._unsafeUnwrap();
    await until('the engine is quarantined', async () => {
      const answers = await Promise.all(
        system.nodes.map((one) => system.operator(one).explain(`backend/${failing.name}`)),
      );
      return answers.some((answer) =>
        (answer._unsafeUnwrap().decisions as { kind: string }[]).some((one) => one.kind === 'quarantine'),
      );
    });
    await untilAllAt(4);
    await until('it is in use again', async () => {
      const status = (await system.operator(node).status())._unsafeUnwrap();
      return status.backends.find((one) => one.name === failing.name)?.takesWork === 'yes';
    });
  });

  it('rejects a load command with an outdated fencing token and keeps the loaded version', async () => {
    const [engine] = system.engines as [SystemBackend];
    const order = { fence: 0, order: 'load' as const, model: EMULATOR_MODEL, version: 1, object: 'w/1' };
    const refused = await engines.order(engine.direct, order);
    expect(refused._unsafeUnwrapErr().failure).to.equal('conflict');
    expect((await versions())[0]).to.equal('4');
  });

  it('loads no version into engines outside the zones of the model', async () => {
    (
      await system.operator(node).patch('Model', EMULATOR_MODEL, { spec: { residency: ['zone-b'] } })
    )._unsafeUnwrap();
    await publish(5);
    (await system.approver(node).approve(`${EMULATOR_MODEL}-v5`))._unsafeUnwrap();
    const moved = system.engines[2] as SystemBackend;
    (await system.operator(node).patch('Backend', moved.name, { spec: { zone: 'zone-b' } }))._unsafeUnwrap();
    await until('the engine inside the zone has the version', async () => (await versions())[2] === '5');
    expect((await versions()).slice(0, 2)).to.deep.equal(['4', '4']);
    const service = (await system.operator(node).get('Service', EMULATOR_MODEL_SERVICE))._unsafeUnwrap();
    expect(service.metadata.name).to.equal(EMULATOR_MODEL_SERVICE);
  });
});
