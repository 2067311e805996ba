/**
 * `thymecove validate`, `diff` and `apply`: commands for declarations kept in version control. An apply is
 * committed as one revision under an operation ID, so that it can be retried safely if the response is lost.
 */
import { array, boolean, command, flag, multioption, number, option, optional, string } from 'cmd-ts';
import { ok, type Result } from 'neverthrow';
import { monotonicMs, sleep } from '../../common/clock.js';
import { uniqueId } from '../../common/identifier.js';
import type { ProtocolError } from '../../protocol/protocol-error.js';
import type { Changeset, ChangesetAnswer, RevisionReport } from '../../protocol/resource/operator.js';
import { type OperatorClient, problemOf } from '../../protocol/resource/operator-client.js';
import { type ConnectionValues, connectionFlags, outputFlag, withOperatorClient } from '../connection.js';
import { type Declaration, loadDeclarations } from '../declarations.js';
import { ExitCode } from '../exit-codes.js';
import { formatTable, type OutputFormat, printNote, printResult, reportFailure } from '../output.js';
import { type PlannedChange, planApply, toChangeset } from '../plan.js';

const files = multioption({
  type: array(string),
  long: 'file',
  short: 'f',
  description: 'File or directory of declarations (YAML or JSON). Can be repeated.',
});
const set = option({
  type: string,
  long: 'set',
  defaultValue: () => 'default',
  description: 'Name of the set of declarations, for --prune.',
});
const prune = flag({
  type: boolean,
  long: 'prune',
  description: 'Delete resources of the set that are no longer declared.',
});

/** Reads the declarations; on errors prints them and exits. */
function loadOrExit(paths: readonly string[]): Declaration[] {
  if (paths.length === 0) {
    printNote('error: --file is required');
    process.exit(ExitCode.invalidInput);
  }
  const loaded = loadDeclarations(paths);
  if (loaded.isOk()) return loaded.value;
  printNote(`error: ${loaded.error.length} problem(s) in the declarations`);
  for (const problem of loaded.error) printNote(`  ${problem.file}: ${problem.field}: ${problem.message}`);
  process.exit(ExitCode.invalidInput);
}

/** `thymecove validate`. */
export const validateCommand = command({
  name: 'validate',
  description: 'Validate declarations without contacting a node.',
  examples: [{ description: 'Validate a directory', command: 'thymecove validate -f examples/nahr' }],
  args: { files, output: outputFlag },
  handler: ({ files: paths, output }) => {
    const declarations = loadOrExit(paths);
    const rows = declarations.map(({ file, manifest }) => ({
      kind: manifest.kind,
      name: manifest.metadata.name,
      file,
    }));
    printResult(output, rows, () =>
      formatTable(
        ['KIND', 'NAME', 'FILE'],
        rows.map((row) => [row.kind, row.name, row.file]),
      ),
    );
  },
});

function printPlan(output: OutputFormat, plan: readonly PlannedChange[]): void {
  const shown = plan.map(({ manifest: _manifest, ...rest }) => rest);
  printResult(output, shown, () => formatTable(['ACTION', 'KIND', 'NAME', 'CHANGES'], plan.map(planRow)));
}

function planRow(change: PlannedChange): string[] {
  const fields = change.differences.map(
    (one) => `${one.field}: ${JSON.stringify(one.inForce)} -> ${JSON.stringify(one.declared)}`,
  );
  return [change.action, change.kind, change.name, fields.join('\n')];
}

/** `thymecove diff`. */
export const diffCommand = command({
  name: 'diff',
  description: 'Show what an apply would change. Exits with 6 if there are changes.',
  examples: [{ description: 'Compare a directory', command: 'thymecove diff -f examples/nahr --set nahr' }],
  args: { ...connectionFlags, files, set, prune, output: outputFlag },
  handler: (args) => {
    const declarations = loadOrExit(args.files);
    return withOperatorClient(args, async (client) => {
      const plan = await planApply(client, declarations, {
        set: args.set,
        source: undefined,
        prune: args.prune,
      });
      if (plan.isErr()) return reportFailure(plan.error);
      printPlan(args.output, plan.value);
      return plan.value.some((one) => one.action !== 'unchanged') ? ExitCode.differences : ExitCode.ok;
    });
  },
});

const MAX_COMMIT_ATTEMPTS = 10;
const COMMIT_RETRY_MS = 1_000;
const DEFAULT_WAIT_MS = 60_000;
const WAIT_POLL_MS = 200;

/** Retries a commit under the same operation ID until its outcome is known or the attempts are used up. */
async function commitWithRetry(client: OperatorClient, changeset: Changeset) {
  for (let attempt = 1; ; attempt += 1) {
    const answer = await client.commit(changeset);
    if (answer.isOk() || !isOutcomeUnknown(answer.error) || attempt >= MAX_COMMIT_ATTEMPTS) return answer;
    printNote(`outcome of the commit unknown, retrying (attempt ${attempt}): ${answer.error.message}`);
    await sleep(answer.error.retryAfterMs ?? COMMIT_RETRY_MS);
  }
}

function isOutcomeUnknown(error: ProtocolError): boolean {
  const problem = problemOf(error);
  return problem ? problem.executed === 'unknown' || problem.status === 503 : error.effect === 'unknown';
}

/** Waits until every member has applied the revision. Shows a progress line on standard error. */
async function waitUntilApplied(
  client: OperatorClient,
  revision: number,
  timeoutMs: number,
): Promise<number> {
  const deadline = monotonicMs() + timeoutMs;
  for (;;) {
    const report = await client.revision(revision);
    if (report.isOk()) {
      const { holders, members } = report.value;
      process.stderr.write(`\rrevision ${revision}: in force on ${holders} of ${members} nodes`);
    }
    const isApplied = report.isOk() && report.value.inForceEverywhere;
    if (isApplied || monotonicMs() > deadline) {
      process.stderr.write('\n');
      return isApplied ? ExitCode.ok : reportTimeout(report);
    }
    await sleep(WAIT_POLL_MS);
  }
}

function reportTimeout(report: Result<RevisionReport, ProtocolError>): number {
  if (report.isErr()) return reportFailure(report.error);
  printNote('error: timed out waiting for every node to apply the revision');
  return ExitCode.unavailable;
}

interface ApplyValues extends ConnectionValues {
  readonly files: string[];
  readonly set: string;
  readonly prune: boolean;
  readonly dryRun: boolean;
  readonly wait: boolean;
  readonly waitMs: number | undefined;
  readonly source: string | undefined;
  readonly output: OutputFormat;
}

async function apply(
  client: OperatorClient,
  declarations: readonly Declaration[],
  args: ApplyValues,
): Promise<number> {
  const plan = await planApply(client, declarations, {
    set: args.set,
    source: args.source,
    prune: args.prune,
  });
  if (plan.isErr()) return reportFailure(plan.error);
  const changeset = toChangeset(plan.value, uniqueId(), args.dryRun);
  const committed = changeset ? await commitWithRetry(client, changeset) : ok(undefined);
  if (committed.isErr()) return reportFailure(committed.error);
  const answer = committed.value;
  printPlan(args.output, plan.value);
  printNote(outcomeOf(answer, args.dryRun));
  if (!answer || args.dryRun || !args.wait) return ExitCode.ok;
  return waitUntilApplied(client, answer.revision, args.waitMs ?? DEFAULT_WAIT_MS);
}

function outcomeOf(answer: ChangesetAnswer | undefined, dryRun: boolean): string {
  if (!answer) return 'no changes';
  return dryRun ? 'dry run: no changes were made' : `accepted as revision ${answer.revision}`;
}

/** `thymecove apply`. */
export const applyCommand = command({
  name: 'apply',
  description:
    'Apply declarations in a single revision. Applying the same declarations again makes no changes.',
  examples: [
    {
      description: 'Apply a directory and wait until every node has applied it',
      command: 'thymecove apply -f examples/nahr --set nahr --prune --source "$(git rev-parse HEAD)" --wait',
    },
  ],
  args: {
    ...connectionFlags,
    files,
    set,
    prune,
    dryRun: flag({ type: boolean, long: 'dry-run', description: 'Validate on the server; no changes.' }),
    wait: flag({ type: boolean, long: 'wait', description: 'Wait until every node has applied it.' }),
    waitMs: option({
      type: optional(number),
      long: 'wait-ms',
      description: 'Timeout of --wait in milliseconds. Default 60000.',
    }),
    source: option({ type: optional(string), long: 'source', description: 'Revision of the source tree.' }),
    output: outputFlag,
  },
  handler: (args) => {
    const declarations = loadOrExit(args.files);
    return withOperatorClient(args, (client) => apply(client, declarations, args));
  },
});
