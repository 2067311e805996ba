/** `thymecove trace`: merges log lines of several processes into the trace of a request, an item or a job. */
import { command, option, positional, string } from 'cmd-ts';
import { ExitCode } from '../exit-codes.js';
import { readLogLines } from '../log-lines.js';
import { printNote } from '../output.js';
import { renderTrace, traceOf } from '../trace.js';

export const traceCommand = command({
  name: 'trace',
  description:
    'Read log lines of nodes from standard input. Print those about a request, an item or a job in order, and the ' +
    'gaps in the logs.',
  examples: [
    {
      description: 'One job, from the logs of all nodes',
      command: 'cat *.log | thymecove trace 7c41e09b52d6a3f8',
    },
  ],
  args: {
    id: positional({
      type: string,
      displayName: 'id',
      description: 'ID of a request, an item or a job.',
    }),
    output: option({
      type: string,
      long: 'output',
      short: 'o',
      defaultValue: () => 'table',
      description: 'table or json. Default table.',
    }),
  },
  handler: async ({ id, output }) => {
    const trace = traceOf(id, await readLogLines(process.stdin));
    if (trace.lines.length === 0) {
      printNote(`no log lines found for ${id}`);
      process.exitCode = ExitCode.notFound;
      return;
    }
    process.stdout.write(output === 'json' ? `${JSON.stringify(trace)}\n` : renderTrace(trace));
  },
});
