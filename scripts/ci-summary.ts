/**
 * Prints the results of a test run from mocha's JSON report; the last line is `N passed, N failed`. Failures
 * listed in `KNOWN-RED.txt` are printed but do not fail the run. Listed tests that do not fail, pending tests
 * and an empty report do.
 */
import { existsSync, readFileSync } from 'node:fs';

interface ReportedTest {
  readonly fullTitle: string;
  readonly duration?: number;
  readonly err: { readonly message?: string; readonly stack?: string };
}

interface Report {
  readonly passes: readonly ReportedTest[];
  readonly failures: readonly ReportedTest[];
  readonly pending: readonly ReportedTest[];
}

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const MAX_KNOWN_RED = 3;
const SEPARATOR = ' | ';
/** Issues whose tests do not count against `MAX_KNOWN_RED`. */
const UNCOUNTED_ISSUES: ReadonlySet<string | undefined> = new Set(['71']);

/** A test that is known to fail: a line of fields, the full title first and the issue last. */
interface KnownRed {
  readonly title: string;
  readonly issue: string | undefined;
}

function readKnownRed(): KnownRed[] {
  if (!existsSync(KNOWN_RED_FILE)) return [];
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  return lines
    .filter((line) => line.trim() && !line.startsWith('#'))
    .map((line) => line.split(SEPARATOR))
    .map((fields) => ({ title: fields[0] as string, issue: fields.at(-1) }));
}

const print = (text: string) => process.stdout.write(`${text}\n`);

const report = JSON.parse(readFileSync(process.argv[2] as string, 'utf8')) as Report;
const entries = readKnownRed();
const knownRed = entries.map(({ title }) => title);
const countedEntries = entries.filter(({ issue }) => !UNCOUNTED_ISSUES.has(issue));
const failed = new Set(report.failures.map((test) => test.fullTitle));
for (const test of report.passes) print(`passed  ${test.fullTitle} (${test.duration ?? 0} ms)`);
for (const test of report.pending) print(`not run ${test.fullTitle}`);
for (const test of report.failures) {
  print(`${knownRed.includes(test.fullTitle) ? 'known red' : 'FAILED '} ${test.fullTitle}`);
  print(`        ${test.err.stack ?? test.err.message ?? ''}`);
}
const unexpected = report.failures.filter((test) => !knownRed.includes(test.fullTitle));
const unexpectedPasses = knownRed.filter((title) => !failed.has(title));
for (const title of unexpectedPasses) print(`listed in ${KNOWN_RED_FILE} but not failing: ${title}`);
if (countedEntries.length > MAX_KNOWN_RED) print(`${KNOWN_RED_FILE} lists more than ${MAX_KNOWN_RED} tests`);
print(`${report.passes.length} passed, ${report.failures.length} failed`);
const isPassing =
  report.passes.length > 0 &&
  unexpected.length === 0 &&
  unexpectedPasses.length === 0 &&
  countedEntries.length <= MAX_KNOWN_RED &&
  report.pending.length === 0;
process.exit(isPassing ? 0 : 1);
