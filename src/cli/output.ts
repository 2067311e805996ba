/** Output of the command line: results go to standard output, all other messages to standard error. */
import Table from 'cli-table3';
import { stringify } from 'yaml';
import type { ProtocolError } from '../protocol/protocol-error.js';
import { problemOf } from '../protocol/resource/operator-client.js';
import { exitCodeOf } from './exit-codes.js';

export type OutputFormat = 'table' | 'json' | 'yaml';

const BORDERLESS = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '  ',
};

/** Formats rows as an aligned table without borders. */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const style = { head: [], border: [], 'padding-left': 0, 'padding-right': 0 };
  const table = new Table({ head: [...head], chars: BORDERLESS, style });
  for (const row of rows) table.push([...row]);
  return table
    .toString()
    .split('\n')
    .map((line) => line.trimEnd())
    .join('\n');
}

/** Prints a result to standard output. */
export function printResult(format: OutputFormat, value: unknown, table: () => string): void {
  if (format === 'json') process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
  else if (format === 'yaml') process.stdout.write(stringify(value));
  else process.stdout.write(`${table()}\n`);
}

/** Prints a message to standard error. */
export function printNote(text: string): void {
  process.stderr.write(`${text}\n`);
}

/** Prints the error of a failed request with its invalid fields, and returns the exit code. */
export function reportFailure(error: ProtocolError): number {
  const problem = problemOf(error);
  if (!problem) printNote(`error: ${error.message}`);
  else {
    printNote(
      `error: ${problem.code}: ${problem.detail} (executed: ${problem.executed}, request ${problem.requestId})`,
    );
    for (const field of problem.fields ?? []) printNote(`  ${field.field}: ${field.message}`);
    if (problem.versions)
      printNote(`  expected version ${problem.versions.expected}, current ${problem.versions.current}`);
    if (problem.retryAfterSeconds) printNote(`  retry after ${problem.retryAfterSeconds} s`);
  }
  return exitCodeOf(error);
}
