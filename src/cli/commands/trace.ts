/** `thymecove trace`: joins log lines of many processes into the trace of a request, an item or a job. */
import { command, option, positional, string } from 'cmd-ts';
import { ExitCode } from '../exit-codes.js';
import { readLogLines } from '../log-lines.js';
import { printNote } from '../output.js';
import { renderTrace, traceOf } from '../trace.js';

/** The command. */
export const traceCommand = command({
  name: 'trace',
  description:
    'Read log lines of nodes on standard input; print those about a request, an item or a job in order, and where the ' +
    'logs have gaps.',
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
      description: 'Identifier of a request, an item or a job.',
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
      printNote(`nothing is said of ${id}`);
      process.exitCode = ExitCode.notFound;
      return;
    }
    process.stdout.write(output === 'json' ? `${JSON.stringify(trace)}\n` : renderTrace(trace));
  },
});
