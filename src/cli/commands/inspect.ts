/** `thymecove get`, `describe`, `watch`, `explain` and `status`. */
import { command, number, option, optional, positional, string } from 'cmd-ts';
import type { Explanation, Status } from '../../protocol/resource/operator.js';
import type { ApiResource } from '../../protocol/resource/operator-client.js';
import { KINDS, ROLLOUT_KIND } from '../../protocol/resource/resource.js';
import { connectionFlags, outputFlag, withOperatorClient } from '../connection.js';
import { ExitCode } from '../exit-codes.js';
import { formatTable, printNote, printResult, reportFailure } from '../output.js';

const kind = positional({
  type: string,
  displayName: 'kind',
  description: [...KINDS, ROLLOUT_KIND].join(', '),
});
const name = positional({ type: string, displayName: 'name' });

function conditionsText(resource: ApiResource): string {
  return (resource.status?.conditions ?? []).map((one) => `${one.type}=${one.status}`).join(' ');
}

function resourceTable(resources: readonly ApiResource[]): string {
  const rows = resources.map((one) => [
    one.kind,
    one.metadata.name,
    String(one.metadata.resourceVersion),
    String(one.metadata.generation ?? ''),
    conditionsText(one),
  ]);
  return formatTable(['KIND', 'NAME', 'VERSION', 'GENERATION', 'CONDITIONS'], rows);
}

/** `thymecove get`. */
export const getCommand = command({
  name: 'get',
  description: 'List the resources of a kind, or show a single one.',
  examples: [{ description: 'All backends as YAML', command: 'thymecove get Backend -o yaml' }],
  args: {
    ...connectionFlags,
    kind,
    name: positional({ type: optional(string), displayName: 'name' }),
    output: outputFlag,
  },
  handler: (args) =>
    withOperatorClient(args, async (client) => {
      if (args.name === undefined) {
        const found = await client.list(args.kind);
        if (found.isErr()) return reportFailure(found.error);
        printResult(args.output, found.value, () => resourceTable(found.value.items));
        return ExitCode.ok;
      }
      const found = await client.get(args.kind, args.name);
      if (found.isErr()) return reportFailure(found.error);
      printResult(args.output, found.value, () => resourceTable([found.value]));
      return ExitCode.ok;
    }),
});

function describeText(resource: ApiResource): string {
  const toRows = (tree: Record<string, unknown>) =>
    Object.entries(tree).map(([field, value]) => [
      field,
      typeof value === 'string' ? value : JSON.stringify(value),
    ]);
  const conditions = (resource.status?.conditions ?? []).map((one) => [
    one.type,
    one.status,
    one.reason,
    one.message,
  ]);
  return [
    formatTable(['METADATA', ''], toRows(resource.metadata)),
    formatTable(['SPEC', ''], toRows(resource.spec)),
    formatTable(['CONDITION', 'STATUS', 'REASON', 'MESSAGE'], conditions),
  ].join('\n\n');
}

/** `thymecove describe`. */
export const describeCommand = command({
  name: 'describe',
  description: 'Show the metadata, spec and conditions of a resource.',
  args: { ...connectionFlags, kind, name, output: outputFlag },
  handler: (args) =>
    withOperatorClient(args, async (client) => {
      const found = await client.get(args.kind, args.name);
      if (found.isErr()) return reportFailure(found.error);
      printResult(args.output, found.value, () => describeText(found.value));
      return ExitCode.ok;
    }),
});

/** `thymecove watch`. */
export const watchCommand = command({
  name: 'watch',
  description: 'Watch a kind and print each change as a line of JSON.',
  examples: [{ description: 'From a version', command: 'thymecove watch Backend --resource-version 41' }],
  args: {
    ...connectionFlags,
    kind,
    resourceVersion: option({
      type: optional(number),
      long: 'resource-version',
      description: 'Version to resume from.',
    }),
    lines: option({ type: optional(number), long: 'lines', description: 'Exit after this number of lines.' }),
  },
  handler: (args) =>
    withOperatorClient(args, async (client) => {
      const stop = new AbortController();
      process.once('SIGINT', () => stop.abort());
      let remaining = args.lines ?? Number.POSITIVE_INFINITY;
      const onLine = (line: string) => {
        if (remaining <= 0) return;
        process.stdout.write(`${line}\n`);
        remaining -= 1;
        if (remaining <= 0) stop.abort();
      };
      const ended = await client.watch(args.kind, args.resourceVersion, onLine, stop.signal);
      return ended.isErr() ? reportFailure(ended.error) : ExitCode.ok;
    }),
});

function explanationText(explanation: Explanation): string {
  const decisions = explanation.decisions as {
    at: string;
    node: string;
    kind: string;
    choice: string;
    reason: string;
  }[];
  const rows = decisions.map((one) => [one.at, one.node, one.kind, one.choice, one.reason]);
  const table = formatTable(['AT', 'NODE', 'DECISION', 'CHOICE', 'REASON'], rows);
  return `${explanation.kind} ${explanation.subject}\n${explanation.summary}\n\n${table}`;
}

/** `thymecove explain`. */
export const explainCommand = command({
  name: 'explain',
  description: 'Show the decisions about a request, a sample or a backend, with their reasons.',
  examples: [
    { description: 'A request by its ID', command: 'thymecove explain node-a~01JE2S4W7Q0C3Y5Z8N1K6M9T2V' },
    { description: 'A sample by its ID', command: 'thymecove explain disputes:step-12:7:0' },
    { description: 'A backend', command: 'thymecove explain backend/engine-3' },
  ],
  args: {
    ...connectionFlags,
    subject: positional({ type: string, displayName: 'subject' }),
    output: outputFlag,
  },
  handler: (args) =>
    withOperatorClient(args, async (client) => {
      const found = await client.explain(args.subject);
      if (found.isErr()) return reportFailure(found.error);
      printResult(args.output, found.value, () => explanationText(found.value));
      return ExitCode.ok;
    }),
});

function statusText(status: Status): string {
  const { node, members, backends } = status;
  const head = `node ${node.id} in ${node.zone}: ${node.state}, revision ${node.configRevision}`;
  const freshness = node.configurationFresh ? 'confirmed' : 'NOT confirmed';
  const duties = node.duties.join(', ') || 'none';
  const memberRows = members.map((one) => [one.id, one.zone, one.state, one.address]);
  const backendRows = backends.map((one) => [
    one.name,
    one.service,
    one.zone,
    one.health,
    one.version === undefined ? '' : String(one.version),
    String(one.inFlight),
    one.takesWork,
  ]);
  return [
    `${head} (${freshness})\nduties: ${duties}`,
    formatTable(['MEMBER', 'ZONE', 'STATE', 'ADDRESS'], memberRows),
    formatTable(['BACKEND', 'SERVICE', 'ZONE', 'HEALTH', 'VERSION', 'IN FLIGHT', 'TAKES WORK'], backendRows),
  ].join('\n\n');
}

/** `thymecove status`. */
export const statusCommand = command({
  name: 'status',
  description: 'Show the state of a node, and the members and backends that it knows.',
  args: { ...connectionFlags, output: outputFlag },
  handler: (args) =>
    withOperatorClient(args, async (client) => {
      const found = await client.status();
      if (found.isErr()) return reportFailure(found.error);
      printResult(args.output, found.value, () => statusText(found.value));
      if (!found.value.node.configurationFresh)
        printNote('warning: the configuration of this node is not confirmed to be current');
      return ExitCode.ok;
    }),
});
