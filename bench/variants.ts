/**
 * Writes variants of a deployment's site file, so that a policy is tried on sizes and loads that it was not made on. The
 * variants lie below `target/`; `compare` and the users' bench play them like any site.
 *
 *   npm run bench -- variants --site FILE
 */
import { copyFileSync, existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { basename, dirname, join } from 'node:path';
import { parseArgs } from 'node:util';

const FOLDER = 'target/variants';
/** Files that lie beside a site file and are read with it. */
const COMPANIONS = ['wire.json', 'CUT'];

/** A site file with one thing changed. */
interface Variant {
  readonly name: string;
  /** What is changed. */
  readonly pattern: RegExp;
  /** What it becomes. */
  readonly replace: (match: string) => string;
}

/** The list of a model service's replicas by zone. */
const MODEL_SERVERS = /model = "llm", servers = \[[^\]]*\]/;

function withCount(count: number): (match: string) => string {
  return (match) => match.replace(/count = \d+/g, `count = ${count}`);
}

/** All variants. */
export const VARIANTS: readonly Variant[] = [
  { name: 'few-replicas', pattern: MODEL_SERVERS, replace: withCount(1) },
  { name: 'many-replicas', pattern: MODEL_SERVERS, replace: withCount(5) },
  {
    name: 'large-groups',
    pattern: /lot = \{ groups = \d+, size = \d+/,
    replace: () => 'lot = { groups = 14, size = 16',
  },
  { name: 'no-estimates', pattern: /, hint = [\d.]+/, replace: () => '' },
  { name: 'wild-estimates', pattern: /, hint = [\d.]+/, replace: () => ', hint = 1.6' },
  {
    name: 'long-tail',
    pattern: /max = 165\.0, tail = 0\.08, tail_x = 5\.0/,
    replace: () => 'max = 330.0, tail = 0.08, tail_x = 10.0',
  },
];

/** The text of a site file with a variant's change; `undefined` when it has nothing that could be changed. */
export function vary(site: string, { pattern, replace }: Variant): string | undefined {
  return pattern.test(site) ? site.replace(pattern, replace) : undefined;
}

/** Reads the arguments, writes the files, prints their paths. */
export async function writeVariants(args: readonly string[]): Promise<void> {
  const { values } = parseArgs({ args: [...args], options: { site: { type: 'string' } } });
  if (!values.site) throw new Error('variants: --site FILE is needed');
  const site = readFileSync(values.site, 'utf8');
  const folder = join(FOLDER, basename(values.site, '.toml'));
  mkdirSync(folder, { recursive: true });
  for (const name of COMPANIONS) {
    const companion = join(dirname(values.site), name);
    if (existsSync(companion)) copyFileSync(companion, join(folder, name));
  }
  for (const variant of VARIANTS) {
    const text = vary(site, variant);
    const path = join(folder, `${variant.name}.toml`);
    if (text !== undefined) writeFileSync(path, text);
    process.stdout.write(text === undefined ? `${variant.name}: nothing to change\n` : `${path}\n`);
  }
}
