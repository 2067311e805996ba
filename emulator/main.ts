/**
 * The emulator as processes of their own: `platform`, `engines`, `application`. Each prints one JSON line with its
 * addresses when it is ready.
 */
import { command, number, option, run, string, subcommands } from 'cmd-ts';
import { ApplicationServer } from './application/application-server.js';
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

process.on('SIGTERM', () => process.exit(0));
await run(subcommands({ name: 'emulator', cmds: { platform, engines, application } }), process.argv.slice(2));
