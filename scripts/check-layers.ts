/**
 * Checks that imports go one way: coordination, state, protocol, transport; `common` is open to all and imports none.
 * `node` and `cli` compose the layers. The product never imports the emulator, the benchmarks or the tests.
 */
import { readdirSync, readFileSync, statSync } from 'node:fs';
import { dirname, join, relative, resolve } from 'node:path';

/** Folders that files of a folder may import, besides their own. */
const ALLOWED: Readonly<Record<string, readonly string[]>> = {
  'src/common': [],
  'src/transport': ['src/common'],
  'src/protocol': ['src/transport', 'src/common'],
  'src/state': ['src/protocol', 'src/transport', 'src/common'],
  'src/coordination': ['src/state', 'src/protocol', 'src/transport', 'src/common'],
  'src/node': ['src/coordination', 'src/state', 'src/protocol', 'src/transport', 'src/common'],
  'src/cli': ['src/node', 'src/state', 'src/protocol', 'src/transport', 'src/common'],
};

const IMPORT = /from\s+'(\.[^']+)'|import\s+'(\.[^']+)'/g;
const root = resolve(import.meta.dirname, '../..');

function sourcesUnder(folder: string): string[] {
  return readdirSync(folder).flatMap((name) => {
    const path = join(folder, name);
    if (statSync(path).isDirectory()) return sourcesUnder(path);
    return name.endsWith('.ts') ? [path] : [];
  });
}

/** The layer that a path stands in, for example `src/state`. */
function layerOf(path: string): string {
  return relative(root, path).split('/').slice(0, 2).join('/');
}

function violationsIn(file: string): string[] {
  const layer = layerOf(file);
  const allowed = ALLOWED[layer];
  if (!allowed) return [`${relative(root, file)}: stands in no known layer`];
  const targets = [...readFileSync(file, 'utf8').matchAll(IMPORT)].map((match) => match[1] ?? match[2] ?? '');
  return targets
    .map((target) => layerOf(resolve(dirname(file), target)))
    .filter((target) => target !== layer && !allowed.includes(target))
    .map((target) => `${relative(root, file)}: ${layer} must not import ${target}`);
}

const violations = sourcesUnder(join(root, 'src')).flatMap(violationsIn);
for (const violation of violations) process.stderr.write(`${violation}\n`);
process.stdout.write(`layers: ${violations.length} violation(s)\n`);
process.exit(violations.length === 0 ? 0 : 1);
