/**
 * Checks the rules of imports (`layer-rules.ts`), that the platform's names stay in the adapter, and its
 * size. The product never imports the adapter, the emulator, the benchmarks or the tests.
 */
import { readdirSync, readFileSync, statSync } from 'node:fs';
import { join, relative, resolve } from 'node:path';
import {
  CLOUD_PATH,
  HEADER,
  JOB_PATH,
  REPLICA_PATH,
  SETTINGS_VARIABLE,
  STORE_PATH,
} from '../platform/names.js';
import { findImportCycle, importViolations, type Source } from './layer-rules.js';

/** Names that the platform shares with HTTP in general, or with flags of the product's own command line. */
const COMMON_NAMES = new Set<string>([
  HEADER.retryAfter,
  HEADER.lastEventId,
  HEADER.requestId,
  HEADER.waitMs,
  HEADER.tenant,
  HEADER.authorization,
]);
/** Lines of the adapter for each line of the product, at most. */
const MAX_ADAPTER_SHARE = 1 / 6;

const ADAPTER = 'platform';
/** Folders beside the product that enter its rooms through their index; tests look inside. */
const NON_PRODUCT_FOLDERS = [ADAPTER, 'emulator', 'bench'];

/** Names of the platform's interface that stand nowhere outside the adapter and the tests of it. */
const PLATFORM_NAMES: readonly string[] = [
  ...Object.values(HEADER),
  ...Object.values(STORE_PATH),
  ...Object.values(REPLICA_PATH),
  ...Object.values(CLOUD_PATH),
  ...Object.values(JOB_PATH),
  SETTINGS_VARIABLE,
].filter((name: string) => !COMMON_NAMES.has(name));

const root = resolve(import.meta.dirname, '../..');

function sourcesUnder(folder: string): string[] {
  return readdirSync(folder).flatMap((name) => {
    const path = join(folder, name);
    if (statSync(path).isDirectory()) return sourcesUnder(path);
    return name.endsWith('.ts') ? [path] : [];
  });
}

function toSource(file: string): Source {
  return { path: relative(root, file), text: readFileSync(file, 'utf8') };
}

/** Names of the platform that a file of the product uses. */
function platformNamesIn(file: string): string[] {
  const text = readFileSync(file, 'utf8').toLowerCase();
  const quoted = (name: string) =>
    ["'", '"', '`'].some((quote) => text.includes(`${quote}${name.toLowerCase()}`));
  return PLATFORM_NAMES.filter(quoted).map(
    (name) => `${relative(root, file)}: names ${name} of the platform`,
  );
}

function countLines(files: readonly string[]): number {
  return files.reduce((sum, file) => sum + readFileSync(file, 'utf8').split('\n').length, 0);
}

const product = sourcesUnder(join(root, 'src'));
const adapter = sourcesUnder(join(root, ADAPTER));
const nonProduct = NON_PRODUCT_FOLDERS.flatMap((folder) => sourcesUnder(join(root, folder)));
const violations = [
  ...[...product, ...nonProduct].map(toSource).flatMap(importViolations),
  ...product.flatMap(platformNamesIn),
];
const cycle = findImportCycle(product.map(toSource));
if (cycle) violations.push(`imports run in a circle: ${cycle.join(' -> ')}`);
const [productLines, adapterLines] = [countLines(product), countLines(adapter)];
if (adapterLines > productLines * MAX_ADAPTER_SHARE)
  violations.push(`${ADAPTER}: larger than a sixth of src`);
for (const violation of violations) process.stderr.write(`${violation}\n`);
process.stdout.write(
  `layers: ${violations.length} violation(s); ${ADAPTER} ${adapterLines} lines, src ${productLines}\n`,
);
process.exit(violations.length === 0 ? 0 : 1);
