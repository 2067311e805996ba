/**
 * The emulator as processes of their own: `platform`, `engines`, `application` print one JSON line with
 * their addresses when they are ready; `trainer` runs to its end and prints what it counted.
 */
import { array, command, multioption, number, option, run, string, subcommands } from 'cmd-ts';
import { ApplicationServer } from './application/application-server.js';
import { TrainerLoop } from './clients/trainer-loop.js';
import { EngineServer } from './engine/engine-server.js';
import { PlatformServer } from './platform/platform-server.js';

const HOST = '127.0.0.1';

function ready(value: object): void {
  process.stdout.write(`${JSON.stringify({ ready: true, ...value })}\n`);
}

function portOf(base: number, index: number): number {
  return base === 0 ? 0 : base + index;
}

const port = option({
  type: number,
  long: 'port',
  defaultValue: () => 0,
  description: 'First port; 0 takes free ones.',
});
const count = option({ type: number, long: 'count', defaultValue: () => 1, description: 'How many.' });

const platform = command({
  name: 'platform',
  description: 'Table service, object store, weight store and machine list',
  args: {
    port,
    machineLagMs: option({ type: number, long: 'machine-lag-ms', defaultValue: () => 0 }),
  },
  handler: async (args) => {
    const server = new PlatformServer({ machineLagMs: args.machineLagMs });
    ready({ address: await server.start(HOST, args.port) });
  },
});

const engines = command({
  name: 'engines',
  description: 'Model engines',
  args: {
    port,
    count,
    weights: option({ type: string, long: 'weights', description: 'Base URL of the weight store.' }),
    model: option({ type: string, long: 'model' }),
    version: option({ type: number, long: 'version', defaultValue: () => 0 }),
    stepMs: option({ type: number, long: 'step-ms', defaultValue: () => 2 }),
    medianTokens: option({ type: number, long: 'median-tokens', defaultValue: () => 60 }),
    maxQueue: option({ type: number, long: 'max-queue', defaultValue: () => 256 }),
  },
  handler: async (args) => {
    const addresses: string[] = [];
    for (let index = 0; index < args.count; index += 1) {
      const { model, version, stepMs, medianTokens, maxQueue } = args;
      const server = new EngineServer({ model, version, stepMs, medianTokens, maxQueue }, args.weights);
      addresses.push(await server.start(HOST, portOf(args.port, index)));
    }
    ready({ addresses });
  },
});

const application = command({
  name: 'application',
  description: 'Back ends of an application service',
  args: { port, count, name: option({ type: string, long: 'name', defaultValue: () => 'app' }) },
  handler: async (args) => {
    const addresses: string[] = [];
    for (let index = 0; index < args.count; index += 1) {
      const server = new ApplicationServer(args.count === 1 ? args.name : `${args.name}-${index}`);
      addresses.push(await server.start(HOST, portOf(args.port, index)));
    }
    ready({ addresses });
  },
});

const trainer = command({
  name: 'trainer',
  description: 'A trainer that runs some steps and prints what it counted',
  args: {
    nodes: multioption({
      type: array(string),
      long: 'node',
      description: 'Base URL of a node; may be repeated.',
    }),
    name: option({ type: string, long: 'trainer' }),
    model: option({ type: string, long: 'model' }),
    token: option({ type: string, long: 'token' }),
    steps: option({ type: number, long: 'steps', defaultValue: () => 3 }),
    bound: option({ type: number, long: 'staleness-bound', defaultValue: () => 1 }),
    version: option({
      type: number,
      long: 'version',
      defaultValue: () => 1,
      description: 'Version that is loaded now.',
    }),
  },
  handler: async ({ nodes, name, model, token, steps, bound, version }) => {
    const report = await new TrainerLoop({
      trainer: name,
      token,
      model,
      nodes,
      stalenessBound: bound,
      steps,
      promptsPerStep: 16,
      samplesPerPrompt: 4,
      maxTokens: 400,
      seed: 1,
      firstVersion: version,
      trainMs: 200,
      timeoutMs: 120_000,
      runName: `run-${Date.now()}`,
    }).run();
    process.stdout.write(`${JSON.stringify(report)}\n`);
  },
});

process.on('SIGTERM', () => process.exit(0));
await run(
  subcommands({ name: 'emulator', cmds: { platform, engines, application, trainer } }),
  process.argv.slice(2),
);
