/** `thymecove timeline`: reports where jobs spent their time, from the log lines of several processes. */
import { command, oneOf, option } from 'cmd-ts';
import { ExitCode } from '../exit-codes.js';
import { timelineOf } from '../job-timeline.js';
import { readLogLines } from '../log-lines.js';
import { type OutputFormat, printNote, printResult } from '../output.js';
import { renderTimeline } from '../timeline-table.js';

const FORMATS: OutputFormat[] = ['table', 'json', 'yaml'];

export const timelineCommand = command({
  name: 'timeline',
  description:
    'Read log lines of nodes from standard input. Print for each job when its items and the groups that its trainer ' +
    'waits for were complete, where the last item spent its time and the runs in flight by second; and for each ' +
    'trainer its idle time and the staleness of its samples. Times are milliseconds since the job was accepted.',
  examples: [
    { description: 'All jobs, from the logs of all nodes', command: 'cat *.log | thymecove timeline' },
  ],
  args: {
    output: option({
      type: oneOf(FORMATS),
      long: 'output',
      short: 'o',
      defaultValue: () => 'table' as const,
      description: 'table, json or yaml; json and yaml include runs in flight by replica. Default table.',
    }),
  },
  handler: async ({ output }) => {
    const timeline = timelineOf(await readLogLines(process.stdin));
    if (timeline.jobs.length === 0) {
      printNote('no jobs found in the log lines');
      process.exitCode = ExitCode.notFound;
      return;
    }
    printResult(output, timeline, () => renderTimeline(timeline));
  },
});
