/**
 * The main job with everything embedded in one process: operators declare, a trainer runs steps, callers ask,
 * and the last line says what the trainer and the callers counted.
 */
import { configureLogging } from '../src/common/logging.js';
import { CallerLoop } from './clients/caller-loop.js';
import { TrainerLoop } from './clients/trainer-loop.js';
import { Cluster, EMULATOR_TOKENS } from './cluster.js';
import { EMULATOR_APPLICATION, EMULATOR_MODEL, EMULATOR_TRAINER } from './declarations.js';
import { runJobDemo } from './job-demo.js';

const NODES = 2;
const STALENESS_BOUND = 1;
const STEPS = 3;
const CALLS = 40;
const TIMEOUT_MS = 120_000;
const SEED = 7;

const say = (text: string) => process.stdout.write(`${text}\n`);

configureLogging('silent');
const cluster = new Cluster({
  nodes: NODES,
  engines: 4,
  applications: 2,
  zones: ['zone-a', 'zone-b'],
  stalenessBound: STALENESS_BOUND,
});
await cluster.start();
say(`started ${NODES} nodes, 4 engines, 2 application back ends; declarations are in force`);

const trainer = new TrainerLoop({
  trainer: EMULATOR_TRAINER,
  token: EMULATOR_TOKENS.trainer,
  model: EMULATOR_MODEL,
  nodes: cluster.addresses,
  stalenessBound: STALENESS_BOUND,
  steps: STEPS,
  promptsPerStep: 16,
  samplesPerPrompt: 4,
  maxTokens: 400,
  seed: SEED,
  firstVersion: 1,
  trainMs: 200,
  timeoutMs: TIMEOUT_MS,
  runName: 'demo',
});
const caller = new CallerLoop({
  nodes: cluster.addresses,
  token: EMULATOR_TOKENS.caller,
  service: EMULATOR_APPLICATION,
  requests: CALLS,
  pauseMs: 10,
  seed: SEED,
  keyed: true,
});
const [samples, calls] = await Promise.all([trainer.run(), caller.run()]);
say(`trainer: ${STEPS} steps in ${samples.totalMs} ms, waiting for samples ${samples.idleMs} ms`);
say(`trainer: mean staleness ${samples.meanStaleness.toFixed(2)}, wrong versions ${samples.wrongVersions}`);
say(`callers: ${calls.answers} answers, ${calls.wrong} wrong, refusals ${JSON.stringify(calls.refusals)}`);
await cluster.stop();

const job = await runJobDemo();
say(
  `batch job: ${job.results} results read at ${NODES} nodes, ${job.whole} whole and scored, ${job.different} read differently`,
);

const isGood =
  samples.missing === 0 &&
  samples.duplicates === 0 &&
  samples.wrongVersions === 0 &&
  samples.maxStaleness <= STALENESS_BOUND &&
  calls.answers === CALLS &&
  job.whole === job.results &&
  job.different === 0;
say(
  JSON.stringify({
    samplesDelivered: samples.samplesDelivered,
    duplicates: samples.duplicates,
    missing: samples.missing,
    maxStaleness: samples.maxStaleness,
    stalenessBound: STALENESS_BOUND,
    callerAnswers: calls.answers,
    nodes: NODES,
  }),
);
process.exit(isGood ? 0 : 1);
