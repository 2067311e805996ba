/** A request served end to end by separate processes. */
import { expect } from 'chai';
import { namesTrueVersions, nextSequence } from '../../../emulator/clients/trainer-loop.js';
import { EMULATOR_TOKENS } from '../../../emulator/cluster.js';
import { EMULATOR_MODEL } from '../../../emulator/declarations.js';
import { uniqueId } from '../../../src/common/identifier.js';
import { type SystemNode, TestSystem } from '../../support/system.js';
import { until } from '../../support/wait.js';

describe('the full path through separate processes', () => {
  const system = new TestSystem({ nodes: 2, engines: 2, applications: 1 });
  let first: SystemNode;
  let second: SystemNode;

  before(async () => {
    await system.start();
    [first, second] = system.nodes as [SystemNode, SystemNode];
  });
  after(() => system.stop());

  it('delivers a rollout submitted at one node to a draw at another one', async () => {
    const submission = {
      rolloutId: 'r1',
      model: EMULATOR_MODEL,
      prompts: ['a', 'b', 'c'],
      samplesPerPrompt: 2,
      maxTokens: 60,
    };
    expect((await system.trainer(first).submit(submission))._unsafeUnwrap().slots).to.equal(6);
    const slots = new Set<string>();
    let cursor = 1;
    let previous: { attempt: number; digest: string } | undefined;
    while (slots.size < 6) {
      const node = cursor % 2 === 1 ? second : first;
      const request = {
        cursor,
        sequence: nextSequence(),
        versions: { [EMULATOR_MODEL]: 1 },
        waitMs: 2_000,
        previous,
      };
      const batch = (await system.trainer(node).draw(request))._unsafeUnwrap();
      if (batch.samples.length === 0) continue;
      for (const sample of batch.samples) {
        expect(namesTrueVersions(sample)).to.equal(true);
        const slot = `${sample.promptIndex}/${sample.sampleIndex}`;
        expect(slots.has(slot)).to.equal(false);
        slots.add(slot);
      }
      const again = (await system.trainer(first).draw(request))._unsafeUnwrap();
      expect(again).to.deep.equal(batch);
      previous = { attempt: batch.attempt, digest: batch.digest };
      cursor += 1;
    }
    const last = { cursor: cursor - 1, attempt: previous?.attempt ?? 0, digest: previous?.digest ?? '' };
    expect((await system.trainer(second).acknowledge(last)).isOk()).to.equal(true);
  });

  it('answers a caller through either node', async () => {
    for (const node of [first, second]) {
      const workId = uniqueId();
      const answer = (await system.callApplication(node, workId))._unsafeUnwrap();
      expect(answer.status).to.equal(200);
      expect(answer.json.workId).to.equal(workId);
      expect(answer.json.body).to.equal(`body of ${workId}`);
    }
  });

  it('streams a completion whose events name the weight version, up to the end marker', async () => {
    const body = JSON.stringify({
      model: EMULATOR_MODEL,
      prompt: 'x',
      max_tokens: 30,
      stream: true,
      seed: 3,
    });
    const headers = { authorization: `Bearer ${EMULATOR_TOKENS.caller}` };
    const answer = await until('an engine serves', async () => {
      const sent = await system.client.exchange({
        method: 'POST',
        url: `${first.address}/v1/completions`,
        headers,
        body,
      });
      return sent.isOk() && sent.value.status === 200 ? sent.value.body.toString('utf8') : undefined;
    });
    expect(answer.endsWith('data: [DONE]\n\n')).to.equal(true);
    expect(answer).to.contain('"weight_version":1');
  });
});
