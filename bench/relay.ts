/**
 * What a node costs on a request's way: processor time for a request to an application service and for 1,000 streamed
 * tokens, through a node beside the direct path to the same back end. Separate processes; the paths take turns.
 */

import { nextSequence } from '../emulator/clients/trainer-loop.js';
import { EMULATOR_TOKENS } from '../emulator/cluster.js';
import { EMULATOR_APPLICATION, EMULATOR_MODEL } from '../emulator/declarations.js';
import { sleep } from '../src/common/clock.js';
import { median } from '../src/common/statistics.js';
import type { HttpClient, OutgoingRequest } from '../src/transport/http-client.js';
import { TestSystem } from '../test/support/system.js';
import { processorMicroseconds } from './processor-time.js';
import { printFigures } from './report.js';

const ROUNDS = 5;
const REQUESTS = 2_000;
const CONCURRENCY = 16;
const STREAMS = 48;
const TOKENS = 500;
const WARM_UP = 300;

interface Cost {
  readonly node: number;
  readonly all: number;
}

/** Runs `count` exchanges, so many at a time. */
async function load(client: HttpClient, count: number, request: () => OutgoingRequest): Promise<void> {
  let left = count;
  const worker = async () => {
    while (left > 0) {
      left -= 1;
      const answer = await client.exchange(request());
      if (answer.isErr() || answer.value.status !== 200)
        throw new Error(`an exchange failed: ${JSON.stringify(answer)}`);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, worker));
}

/** Processor time of a piece of work: the node's, and that of all processes together. */
async function costOf(pids: { node: number; backend: number }, work: () => Promise<void>): Promise<Cost> {
  const ownBefore = process.cpuUsage();
  const nodeBefore = processorMicroseconds(pids.node);
  const backendBefore = processorMicroseconds(pids.backend);
  await work();
  const own = process.cpuUsage(ownBefore);
  const node = processorMicroseconds(pids.node) - nodeBefore;
  const backend = processorMicroseconds(pids.backend) - backendBefore;
  return { node, all: own.user + own.system + node + backend };
}

/** Runs the benchmark. */
export async function benchRelay(): Promise<void> {
  const system = new TestSystem({
    nodes: 1,
    engines: 1,
    applications: 1,
    medianTokens: 1_000_000,
    specs: { [`Service/${EMULATOR_APPLICATION}`]: { repeatable: true } },
    directBackends: true,
  });
  await system.start();
  await sleep(1_000);
  const [node] = system.nodes as [(typeof system.nodes)[0]];
  const [engine] = system.engines as [(typeof system.engines)[0]];
  const [application] = system.applications as [(typeof system.applications)[0]];
  const authorization = `Bearer ${EMULATOR_TOKENS.caller}`;
  const post = (url: string, body: object): OutgoingRequest => ({
    method: 'POST',
    url,
    headers: { authorization, 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  const pidOf = (one: { process: { child: { pid?: number } } }) => one.process.child.pid ?? 0;
  const requestPids = { node: pidOf(node), backend: pidOf(application) };
  const streamPids = { node: pidOf(node), backend: pidOf(engine) };
  const question = { question: 'tariff', vehicle: 'lorry' };
  let seed = 0;
  const throughRequest = () => post(`${node.address}/services/${EMULATOR_APPLICATION}/tariff`, question);
  const directRequest = () => post(`${application.direct}/tariff`, question);
  const throughStream = () => {
    seed += 1;
    const body = { model: EMULATOR_MODEL, prompt: `p${seed}`, max_tokens: TOKENS, stream: true, seed };
    return post(`${node.address}/v1/completions`, body);
  };
  const directStream = () => {
    seed += 1;
    const body = {
      request_id: `d${seed}`,
      model: EMULATOR_MODEL,
      prompt: `p${seed}`,
      max_tokens: TOKENS,
      priority: 5,
      seed,
    };
    return post(`${engine.direct}/v1/completions`, body);
  };
  const { client } = system;
  let cursor = 1;
  let previous: { attempt: number; digest: string } | undefined;
  /** A rollout of as many tokens as the streams, from its submission to the last draw. */
  const samples = async (round: number) => {
    const trainer = system.trainer(node);
    const prompts = Array.from({ length: STREAMS }, (_, index) => `round ${round} prompt ${index}`);
    const rollout = {
      rolloutId: `r${round}`,
      model: EMULATOR_MODEL,
      prompts,
      samplesPerPrompt: 1,
      maxTokens: TOKENS,
    };
    if ((await trainer.submit(rollout)).isErr()) throw new Error('the submission failed');
    for (let got = 0; got < STREAMS; ) {
      const batch = await trainer.draw({
        cursor,
        sequence: nextSequence(),
        versions: { [EMULATOR_MODEL]: 1 },
        previous,
        waitMs: 10_000,
      });
      if (batch.isErr()) throw batch.error;
      if (batch.value.samples.length === 0) continue;
      got += batch.value.samples.length;
      previous = { attempt: batch.value.attempt, digest: batch.value.digest };
      cursor += 1;
    }
  };
  for (const request of [throughRequest, directRequest]) await load(client, WARM_UP, request);
  const costs: Record<'through' | 'direct' | 'throughStream' | 'directStream' | 'samples', Cost[]> = {
    through: [],
    direct: [],
    throughStream: [],
    directStream: [],
    samples: [],
  };
  for (let round = 0; round < ROUNDS; round += 1) {
    costs.direct.push(await costOf(requestPids, () => load(client, REQUESTS, directRequest)));
    costs.through.push(await costOf(requestPids, () => load(client, REQUESTS, throughRequest)));
    costs.directStream.push(await costOf(streamPids, () => load(client, STREAMS, directStream)));
    costs.throughStream.push(await costOf(streamPids, () => load(client, STREAMS, throughStream)));
    costs.samples.push(await costOf(streamPids, () => samples(round)));
  }
  const thousands = (STREAMS * TOKENS) / 1_000;
  const row = (what: string, through: readonly Cost[], direct: readonly Cost[], units: number) => {
    const all = median(through.map((one) => one.all)) / units;
    const base = median(direct.map((one) => one.all)) / units;
    return {
      what,
      'direct, all processes (us)': base,
      'through a node, all processes (us)': all,
      'node alone (us)': median(through.map((one) => one.node)) / units,
      ratio: median(through.map((one, index) => one.all / (direct[index] as Cost).all)),
    };
  };
  printFigures('relay', [
    row('one request', costs.through, costs.direct, REQUESTS),
    row('1,000 streamed tokens', costs.throughStream, costs.directStream, thousands),
    row('1,000 tokens of samples', costs.samples, costs.directStream, thousands),
  ]);
  await system.stop();
}
