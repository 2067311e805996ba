/** Definition of the `thymecove` command line and its subcommands. */
import { runSafely, subcommands } from 'cmd-ts';
import { configureLogging } from '../common/logging.js';
import type { StoreFactory } from '../node/resource/node.js';
import { applyCommand, diffCommand, validateCommand } from './commands/declare.js';
import {
  describeCommand,
  explainCommand,
  getCommand,
  statusCommand,
  watchCommand,
} from './commands/inspect.js';
import { createNodeCommand } from './commands/node.js';
import { approveCommand, drainCommand } from './commands/operate.js';
import { timelineCommand } from './commands/timeline.js';
import { traceCommand } from './commands/trace.js';
import { ExitCode } from './exit-codes.js';

/** Parses the arguments and runs the command; `createStore` creates the store client for `thymecove node`. */
export async function runCommandLine(args: readonly string[], createStore: StoreFactory): Promise<void> {
  configureLogging('stderr');
  const outcome = await runSafely(commands(createStore), [...args]);
  if (outcome._tag === 'error') {
    const { exitCode, message, into } = outcome.error.config;
    const sink = into === 'stdout' ? process.stdout : process.stderr;
    sink.write(`${message}\n`);
    // cmd-ts uses exit code 1 for usage errors; they are mapped to `invalidInput`. Help exits with 0.
    process.exitCode = exitCode === 0 || into === 'stdout' ? ExitCode.ok : ExitCode.invalidInput;
  } else {
    // The value is the promise of the command.
    await outcome.value;
  }
}

function commands(createStore: StoreFactory) {
  return subcommands({
    name: 'thymecove',
    description: 'Rollout service for reinforcement learning: run nodes and operate them.',
    cmds: {
      node: createNodeCommand(createStore),
      validate: validateCommand,
      diff: diffCommand,
      apply: applyCommand,
      get: getCommand,
      describe: describeCommand,
      watch: watchCommand,
      drain: drainCommand,
      approve: approveCommand,
      explain: explainCommand,
      status: statusCommand,
      timeline: timelineCommand,
      trace: traceCommand,
    },
  });
}
