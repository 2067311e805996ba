/** `thymecove timeline`: how the time of jobs was spent, from the log lines of many processes. */
import { command, oneOf, option } from 'cmd-ts';
import { ExitCode } from '../exit-codes.js';
import { timelineOf } from '../job-timeline.js';
import { readLogLines } from '../log-lines.js';
import { type OutputFormat, printNote, printResult } from '../output.js';
import { renderTimeline } from '../timeline-table.js';

const FORMATS: OutputFormat[] = ['table', 'json', 'yaml'];

/** The command. */
export const timelineCommand = command({
  name: 'timeline',
  description:
    'Read log lines of nodes on standard input; print for each job when its items and the groups that its trainer ' +
    'waits for were whole, what the last of them waited for, runs in flight by second, and for each trainer its idle ' +
    'time and the staleness of its samples. Times are milliseconds after the acceptance of the job.',
  examples: [
    { description: 'All jobs, from the logs of all nodes', command: 'cat *.log | thymecove timeline' },
  ],
  args: {
    output: option({
      type: oneOf(FORMATS),
      long: 'output',
      short: 'o',
      defaultValue: () => 'table' as const,
      description: 'table, json or yaml; json and yaml also give runs in flight by replica. Default table.',
    }),
  },
  handler: async ({ output }) => {
    const timeline = timelineOf(await readLogLines(process.stdin));
    if (timeline.jobs.length === 0) {
      printNote('the lines tell of no job');
      process.exitCode = ExitCode.notFound;
      return;
    }
    printResult(output, timeline, () => renderTimeline(timeline));
  },
});
