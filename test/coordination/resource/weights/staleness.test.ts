/** Guards against samples beyond the staleness bound in first deliveries and redeliveries. */
import { expect } from 'chai';
import { nextSequence, versionsInText } from '../../../../emulator/clients/trainer-loop.js';
import { EMULATOR_MODEL } from '../../../../emulator/declarations.js';
import type { Batch } from '../../../../src/protocol/resource/trainer.js';
import { type SystemNode, TestSystem } from '../../../support/system.js';
import { until } from '../../../support/wait.js';

describe('staleness bound', () => {
  const system = new TestSystem({ nodes: 2, engines: 2, stalenessBound: 0 });
  let first: SystemNode;
  let second: SystemNode;
  let cursor = 1;
  let previous: { attempt: number; digest: string } | undefined;

  before(async () => {
    await system.start();
    [first, second] = system.nodes as [SystemNode, SystemNode];
  });
  after(() => system.stop());

  const submit = (rolloutId: string, samplesPerPrompt: number) =>
    system
      .trainer(first)
      .submit({ rolloutId, model: EMULATOR_MODEL, prompts: ['p'], samplesPerPrompt, maxTokens: 40 })
      .then((answer) => answer._unsafeUnwrap());

  const drawAt = (node: SystemNode, version: number) =>
    system.trainer(node).draw({
      cursor,
      sequence: nextSequence(),
      versions: { [EMULATOR_MODEL]: version },
      previous,
      waitMs: 2_000,
    });

  const drawSamples = (node: SystemNode, version: number): Promise<Batch> =>
    until('samples are ready', async () => {
      const batch = (await drawAt(node, version))._unsafeUnwrap();
      return batch.samples.length > 0 ? batch : undefined;
    });

  function accept(batch: Batch): void {
    previous = { attempt: batch.attempt, digest: batch.digest };
    cursor = batch.cursor + 1;
  }

  const allReady = (rolloutId: string, count: number) =>
    until('all samples are ready', async () => {
      const progress = (await system.trainer(first).progress(rolloutId))._unsafeUnwrap();
      return progress.ready === count;
    });

  it('discards ready samples that exceed the bound before they are drawn, and generates them again', async () => {
    await submit('ready', 4);
    await allReady('ready', 4);
    expect((await system.trainer(first).publish(EMULATOR_MODEL, 2, 'w/2')).isOk()).to.equal(true);
    const seen: number[] = [];
    while (seen.length < 4) {
      const batch = await drawSamples(second, 2);
      seen.push(...batch.samples.map((sample) => Math.min(...versionsInText(sample.text))));
      accept(batch);
    }
    expect(seen).to.deep.equal([2, 2, 2, 2]);
    const explained = (await system.operator(second).explain('demo-trainer:ready:0:0'))._unsafeUnwrap();
    expect(explained.summary).to.contain('discarded: version 1');
  });

  it('replaces a batch that exceeds the bound with a new attempt at its cursor, and rejects the old attempt', async () => {
    await submit('redelivered', 4);
    await allReady('redelivered', 4);
    const lost = await drawSamples(first, 2);
    expect((await system.trainer(second).publish(EMULATOR_MODEL, 3, 'w/3')).isOk()).to.equal(true);
    const again = await drawSamples(second, 3);
    expect(again.cursor).to.equal(lost.cursor);
    expect(again.attempt).to.be.greaterThan(lost.attempt);
    for (const sample of again.samples) expect(Math.min(...versionsInText(sample.text))).to.equal(3);
    const late = await system.trainer(first).acknowledge(lost);
    expect(late.isErr()).to.equal(true);
    const next = await system.trainer(first).draw({
      cursor: lost.cursor + 1,
      sequence: nextSequence(),
      versions: { [EMULATOR_MODEL]: 3 },
      previous: { attempt: lost.attempt, digest: lost.digest },
    });
    expect(next.isErr()).to.equal(true);
    accept(again);
  });

  it('applies the bound to the version stated in a draw even if that version is not published yet', async () => {
    await submit('named', 2);
    await allReady('named', 2);
    const batch = (await drawAt(first, 4))._unsafeUnwrap();
    expect(batch.samples).to.deep.equal([]);
    expect((await system.trainer(second).publish(EMULATOR_MODEL, 4, 'w/4')).isOk()).to.equal(true);
    const fresh = await drawSamples(second, 4);
    for (const sample of fresh.samples) expect(Math.min(...versionsInText(sample.text))).to.equal(4);
    accept(fresh);
  });

  it('delivers no samples of a cancelled rollout', async () => {
    await submit('cancelled', 3);
    await allReady('cancelled', 3);
    expect((await system.trainer(second).cancel('cancelled')).isOk()).to.equal(true);
    const batch = (await drawAt(first, 4))._unsafeUnwrap();
    expect(batch.samples.filter((sample) => sample.rolloutId === 'cancelled')).to.deep.equal([]);
  });
});
