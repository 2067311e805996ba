/**
 * Processor time that a node adds to a request to an application service, to 1,000 streamed tokens and to
 * 1,000 tokens of a trainer's samples, against the direct path to the same back end. Node and back ends are
 * processes of their own, and the paths take turns, so that both see the same state of the machine. An
 * exchange that fails ends the benchmark.
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

/**
 * Sizes of the measurement, chosen, not measured: a round of one path uses seconds of processor time, counted
 * in 10 ms.
 */
const ROUNDS = 5;
const REQUESTS = 2_000;
const CONCURRENCY = 16;
const STREAMS = 48;
const TOKENS = 500;
const WARM_UP_REQUESTS = 300;
/** Time in which the node learns its back ends, milliseconds; chosen, not measured. */
const SETTLE_MS = 1_000;
const TOKENS_PER_UNIT = 1_000;
/** Longest wait of one draw, milliseconds. */
const DRAW_WAIT_MS = 10_000;

/** Processor time, microseconds. */
interface Cost {
  readonly node: number;
  /** Node, back end and the client in this process. */
  readonly all: number;
}

/** Processes whose time is counted. */
interface Pids {
  readonly node: number;
  readonly backend: number;
}

type Node = TestSystem['nodes'][0];

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
async function costOf(pids: Pids, work: () => Promise<void>): Promise<Cost> {
  const ownBefore = process.cpuUsage();
  const nodeBefore = processorMicroseconds(pids.node);
  const backendBefore = processorMicroseconds(pids.backend);
  await work();
  const own = process.cpuUsage(ownBefore);
  const node = processorMicroseconds(pids.node) - nodeBefore;
  const backend = processorMicroseconds(pids.backend) - backendBefore;
  return { node, all: own.user + own.system + node + backend };
}

function post(url: string, body: object): OutgoingRequest {
  const headers = { authorization: `Bearer ${EMULATOR_TOKENS.caller}`, 'content-type': 'application/json' };
  return { method: 'POST', url, headers, body: JSON.stringify(body) };
}

/** Requests of both paths; each stream has a seed of its own, so that none is answered from another's. */
function requestsOf(system: TestSystem, node: Node) {
  const question = { question: 'tariff', vehicle: 'lorry' };
  const application = system.applications[0]?.direct;
  const engine = system.engines[0]?.direct;
  let seed = 0;
  const completion = () => {
    seed += 1;
    return { model: EMULATOR_MODEL, prompt: `p${seed}`, max_tokens: TOKENS, seed };
  };
  return {
    through: () => post(`${node.address}/services/${EMULATOR_APPLICATION}/tariff`, question),
    direct: () => post(`${application}/tariff`, question),
    throughStream: () => post(`${node.address}/v1/completions`, { ...completion(), stream: true }),
    directStream: () => {
      const body = completion();
      return post(`${engine}/v1/completions`, { ...body, request_id: `d${body.seed}`, priority: 5 });
    },
  };
}

/** Draws rollouts of as many tokens as the streams, from the submission to the last sample. */
class SampleLoad {
  private cursor = 1;
  private previous: { attempt: number; digest: string } | undefined;

  constructor(private readonly trainer: ReturnType<TestSystem['trainer']>) {}

  async play(round: number): Promise<void> {
    const submitted = await this.trainer.submit({
      rolloutId: `r${round}`,
      model: EMULATOR_MODEL,
      prompts: Array.from({ length: STREAMS }, (_, index) => `round ${round} prompt ${index}`),
      samplesPerPrompt: 1,
      maxTokens: TOKENS,
    });
    if (submitted.isErr()) throw new Error('the submission failed');
    for (let drawn = 0; drawn < STREAMS; ) drawn += await this.draw();
  }

  private async draw(): Promise<number> {
    const batch = await this.trainer.draw({
      cursor: this.cursor,
      sequence: nextSequence(),
      versions: { [EMULATOR_MODEL]: 1 },
      previous: this.previous,
      waitMs: DRAW_WAIT_MS,
    });
    if (batch.isErr()) throw batch.error;
    const { samples, attempt, digest } = batch.value;
    if (samples.length === 0) return 0;
    this.previous = { attempt, digest };
    this.cursor += 1;
    return samples.length;
  }
}

/** One row of the result: medians over the rounds, for one unit of work. */
function row(what: string, through: readonly Cost[], direct: readonly Cost[], units: number) {
  return {
    what,
    'direct, all processes (us)': median(direct.map((one) => one.all)) / units,
    'through a node, all processes (us)': median(through.map((one) => one.all)) / units,
    'node alone (us)': median(through.map((one) => one.node)) / units,
    ratio: median(through.map((one, index) => one.all / (direct[index] as Cost).all)),
  };
}

async function measure(system: TestSystem): Promise<void> {
  const [node] = system.nodes as [Node];
  const { client } = system;
  const requests = requestsOf(system, node);
  const pidOf = (one?: { process: { child: { pid?: number } } }) => one?.process.child.pid ?? 0;
  const requestPids = { node: pidOf(node), backend: pidOf(system.applications[0]) };
  const streamPids = { node: pidOf(node), backend: pidOf(system.engines[0]) };
  const samples = new SampleLoad(system.trainer(node));
  for (const request of [requests.through, requests.direct]) await load(client, WARM_UP_REQUESTS, request);
  const costs = { through: [], direct: [], throughStream: [], directStream: [], samples: [] } as Record<
    'through' | 'direct' | 'throughStream' | 'directStream' | 'samples',
    Cost[]
  >;
  for (let round = 0; round < ROUNDS; round += 1) {
    costs.direct.push(await costOf(requestPids, () => load(client, REQUESTS, requests.direct)));
    costs.through.push(await costOf(requestPids, () => load(client, REQUESTS, requests.through)));
    costs.directStream.push(await costOf(streamPids, () => load(client, STREAMS, requests.directStream)));
    costs.throughStream.push(await costOf(streamPids, () => load(client, STREAMS, requests.throughStream)));
    costs.samples.push(await costOf(streamPids, () => samples.play(round)));
  }
  const streamUnits = (STREAMS * TOKENS) / TOKENS_PER_UNIT;
  printFigures('relay', [
    row('one request', costs.through, costs.direct, REQUESTS),
    row('1,000 streamed tokens', costs.throughStream, costs.directStream, streamUnits),
    row('1,000 tokens of samples', costs.samples, costs.directStream, streamUnits),
  ]);
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
  await sleep(SETTLE_MS);
  await measure(system);
  await system.stop();
}
