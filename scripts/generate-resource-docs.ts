/**
 * Generates `docs/RESOURCES.md` from the TypeBox schemas. With `--check`, exits with 1 if it is out of date.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { API_VERSION, KINDS, READ_ONLY_KINDS, STORED_KINDS } from '../src/protocol/resource/resource.js';

interface SchemaNode {
  readonly type?: string;
  readonly description?: string;
  readonly const?: unknown;
  readonly enum?: readonly unknown[];
  readonly anyOf?: readonly SchemaNode[];
  readonly items?: SchemaNode;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly required?: readonly string[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly pattern?: string;
}

const target = join(resolve(import.meta.dirname, '../..'), 'docs/RESOURCES.md');

function typeText(node: SchemaNode): string {
  if (node.const !== undefined) return `\`${JSON.stringify(node.const)}\``;
  if (node.enum) return node.enum.map((one) => `\`${JSON.stringify(one)}\``).join(' or ');
  if (node.anyOf) return node.anyOf.map(typeText).join(' or ');
  if (node.type === 'array' && node.items) return `list of ${typeText(node.items)}`;
  const range = [
    node.minimum === undefined ? '' : `at least ${node.minimum}`,
    node.maximum === undefined ? '' : `at most ${node.maximum}`,
  ].filter(Boolean);
  return [node.type ?? 'any', ...range].join(', ');
}

/** Table rows of the fields below `path`. */
function rowsOf({ properties = {}, required = [] }: SchemaNode, path: string): string[] {
  return Object.entries(properties).flatMap(([name, child]) =>
    fieldRows(child, `${path}.${name}`, required.includes(name)),
  );
}

/** Table rows of a field and of its nested fields. */
function fieldRows(node: SchemaNode, field: string, isRequired: boolean): string[] {
  const need = isRequired ? 'yes' : 'no';
  const row = `| \`${field}\` | ${typeText(node)} | ${need} | ${node.description ?? ''} |`;
  const nested = node.type === 'array' ? rowsOf(node.items ?? {}, `${field}[]`) : rowsOf(node, field);
  return [row, ...nested];
}

function sectionOf(kind: (typeof KINDS)[number]): string {
  const note = READ_ONLY_KINDS.includes(kind) ? '\nWritten by the system only; operators read it.\n' : '';
  const rows = rowsOf(STORED_KINDS[kind] as unknown as SchemaNode, 'spec');
  return [`## ${kind}`, note, '| field | type | required | meaning |', '|---|---|---|---|', ...rows, ''].join(
    '\n',
  );
}

const INTRODUCTION = `# Resources

Generated from the schemas in \`src/protocol/resource/resource.ts\` by \`npm run docs\`; do not edit.

Every resource has \`apiVersion: ${API_VERSION}\`, \`kind\`, \`metadata.name\`, optional \`metadata.labels\`, and \`spec\`. The
system adds \`metadata.resourceVersion\` (the configuration revision that last changed it), \`metadata.generation\` (counts
changes of the spec), \`metadata.source\` (the source revision that declared its present form), \`metadata.set\` (the set of
declarations that it belongs to) and \`status\` (\`observedGeneration\` and conditions, as the answering node sees them).

A further kind, \`Rollout\`, is read from the sample ledger: \`thymecove get Rollout\`.
`;

const text = `${INTRODUCTION}\n${KINDS.map(sectionOf).join('\n')}`;
if (process.argv.includes('--check')) {
  const isCurrent = readFileSync(target, 'utf8') === text;
  process.stdout.write(`docs/RESOURCES.md: ${isCurrent ? 'up to date' : 'out of date, run npm run docs'}\n`);
  process.exit(isCurrent ? 0 : 1);
}
writeFileSync(target, text);
