/** Reads the log lines of nodes from a stream. */
import { createInterface } from 'node:readline';
import { parseLogLine, type TraceLine } from './trace.js';

/** Text that is not a log line is skipped. */
export async function readLogLines(input: NodeJS.ReadableStream): Promise<TraceLine[]> {
  const lines: TraceLine[] = [];
  for await (const text of createInterface({ input })) {
    const line = parseLogLine(text);
    if (line) lines.push(line);
  }
  return lines;
}
