/** `thymecove node`: runs a node of the resource interface until SIGTERM or SIGINT shuts it down. */
import { command, number, option, optional, string } from 'cmd-ts';
import { configureLogging } from '../../common/logging.js';
import { type StoreFactory, ThymecoveNode } from '../../node/resource/node.js';
import { loadSettings, type Settings } from '../../node/resource/settings.js';
import { ExitCode } from '../exit-codes.js';
import { printNote } from '../output.js';

const flag = (long: string, description: string) => option({ type: optional(string), long, description });

/** Defines the command; `createStore` creates the client of the store that the settings name. */
export const createNodeCommand = (createStore: StoreFactory) =>
  command({
    name: 'node',
    description: 'Run a node. Flags override the settings file. SIGTERM and SIGINT shut it down gracefully.',
    examples: [
      { description: 'Run with a settings file', command: 'thymecove node --settings node.yaml' },
      {
        description: 'The same file on another port',
        command: 'thymecove node --settings node.yaml --id b --port 7401',
      },
    ],
    args: {
      settings: option({ type: string, long: 'settings', description: 'Settings file (YAML).' }),
      id: flag('id', 'node.id'),
      zone: flag('zone', 'node.zone'),
      machine: flag('machine', 'node.machine'),
      host: flag('host', 'listen.host'),
      advertise: flag('advertise', 'listen.advertise'),
      port: option({ type: optional(number), long: 'port', description: 'listen.port' }),
      store: flag('store', 'platform.store'),
      machines: flag('machines', 'platform.machines'),
    },
    handler: async (args) => {
      const settings = loadSettings(args.settings, {
        'node.id': args.id,
        'node.zone': args.zone,
        'node.machine': args.machine,
        'listen.host': args.host,
        'listen.port': args.port,
        'listen.advertise': args.advertise,
        'platform.store': args.store,
        'platform.machines': args.machines,
      });
      if (settings.isErr()) {
        printNote(`error: invalid settings in ${args.settings}`);
        for (const problem of settings.error) printNote(`  ${problem.field}: ${problem.message}`);
        process.exit(ExitCode.invalidInput);
      }
      await runNode(settings.value, createStore);
    },
  });

/** Resolves when the node listens. Exits the process if it fails to start, or after it was stopped. */
async function runNode(settings: Settings, createStore: StoreFactory): Promise<void> {
  configureLogging(settings.log ?? 'stderr');
  const node = new ThymecoveNode(settings, createStore);
  const stop = () => {
    void node.stop().then(() => process.exit(ExitCode.ok));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  try {
    const listening = await node.start();
    process.stdout.write(`${JSON.stringify({ ready: true, id: settings.node.id, listening })}\n`);
  } catch (cause) {
    printNote(`error: failed to start the node: ${(cause as Error).message}`);
    process.exit(ExitCode.failed);
  }
}
