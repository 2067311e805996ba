/** Every caller must receive the complete response to its own request, or an error. */
import { expect } from 'chai';
import { versionsInText } from '../../emulator/clients/trainer-loop.js';
import { EMULATOR_TOKENS } from '../../emulator/cluster.js';
import { EMULATOR_MODEL } from '../../emulator/declarations.js';
import { uniqueId } from '../../src/common/identifier.js';
import { killProcess } from '../support/processes.js';
import { type SystemBackend, type SystemNode, TestSystem } from '../support/system.js';
import { until } from '../support/wait.js';

const TOKEN_COUNT = 400;

describe('responses to callers', () => {
  const system = new TestSystem({ nodes: 1, engines: 2, applications: 1, stepMs: 8, medianTokens: 100_000 });
  let node: SystemNode;

  before(async () => {
    await system.start();
    [node] = system.nodes as [SystemNode];
    await system.untilEnginesServe(node);
  });
  after(() => system.stop());

  /** Streams a completion; `onTokens` is called at each event with the number of tokens so far. */
  async function stream(onTokens: (tokens: number) => void) {
    const sent = await system.client.send({
      method: 'POST',
      url: `${node.address}/v1/completions`,
      headers: { authorization: `Bearer ${EMULATOR_TOKENS.caller}` },
      body: JSON.stringify({
        model: EMULATOR_MODEL,
        prompt: uniqueId(),
        max_tokens: TOKEN_COUNT,
        stream: true,
        seed: 5,
      }),
    });
    const { status, body } = sent._unsafeUnwrap();
    expect(status).to.equal(200);
    let text = '';
    for await (const chunk of body) {
      text += chunk.toString('utf8');
      onTokens(text.split('"text"').length - 1);
    }
    return text;
  }

  function generatedText(events: string): string {
    return events
      .split('\n')
      .filter((line) => line.startsWith('data: {'))
      .map((line) => (JSON.parse(line.slice('data: '.length)) as { text: string }).text)
      .join('');
  }

  /** An engine that is running a sequence. */
  async function busyEngine(): Promise<SystemBackend> {
    return until('an engine is busy', async () => {
      const status = (await system.operator(node).status())._unsafeUnwrap();
      const busy = status.backends.find((one) => one.inFlight > 0);
      return system.engines.find((engine) => engine.name === busy?.name);
    });
  }

  it('resumes a stream after the last token when the engine cuts it', async () => {
    let isCut = false;
    const events = await stream((count) => {
      if (count < 5 || isCut) return;
      isCut = true;
      void busyEngine().then((engine) => system.control(engine.direct, '/control/cut', {}));
    });
    expect(isCut).to.equal(true);
    expect(events.endsWith('data: [DONE]\n\n')).to.equal(true);
    const places = generatedText(events)
      .trim()
      .split(/\s+/)
      .map((token) => Number(token.split(':')[1]));
    expect(places).to.deep.equal(Array.from({ length: TOKEN_COUNT }, (_, index) => index));
  });

  it('breaks the connection when an application truncates its response', async () => {
    const [backend] = system.applications as [SystemBackend];
    await system.control(backend.direct, '/control/faults', { cutAnswers: 1 });
    const answer = await system.callApplication(node, uniqueId());
    expect(answer.isErr()).to.equal(true);
    const next = uniqueId();
    const whole = (await system.callApplication(node, next))._unsafeUnwrap();
    expect(whole.json.workId).to.equal(next);
  });

  it('ends a stream that cannot be completed with an error event', async () => {
    let killing: Promise<unknown> | undefined;
    const events = await stream((count) => {
      if (count >= 5 && !killing)
        killing = Promise.all(system.engines.map((engine) => killProcess(engine.process)));
    });
    await killing;
    expect(events).not.to.contain('[DONE]');
    const last = events.trim().split('\n').at(-1) ?? '';
    const { error } = JSON.parse(last.slice('data: '.length)) as {
      error: { code: string; executed: string };
    };
    expect(error.executed).not.to.equal('no');
    expect(versionsInText(generatedText(events)).length).to.be.greaterThan(0);
  });
});
