/**
 * Checks the import rules (`layer-rules.ts`), that the product does not contain names of the platform's
 * interface, and that the adapter stays small relative to the product.
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

/** Names in `platform/names.ts` that are standard in HTTP, or that the product uses itself. */
const COMMON_NAMES = new Set<string>([
  HEADER.retryAfter,
  HEADER.lastEventId,
  HEADER.requestId,
  HEADER.waitMs,
  HEADER.tenant,
  HEADER.authorization,
]);
/** Upper bound on the size of the adapter in lines, as a fraction of the product's. */
const MAX_ADAPTER_SHARE = 1 / 6;

const ADAPTER = 'platform';
/** Folders outside `src` that must import its modules through their index. Tests are exempt. */
const NON_PRODUCT_FOLDERS = [ADAPTER, 'emulator', 'bench'];

/** Names of the platform's interface that must not occur in the product. */
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

function platformNamesIn(file: string): string[] {
  const text = readFileSync(file, 'utf8').toLowerCase();
  const quoted = (name: string) =>
    ["'", '"', '`'].some((quote) => text.includes(`${quote}${name.toLowerCase()}`));
  return PLATFORM_NAMES.filter(quoted).map(
    (name) => `${relative(root, file)}: contains the platform name ${name}`,
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
if (cycle) violations.push(`import cycle: ${cycle.join(' -> ')}`);
const [productLines, adapterLines] = [countLines(product), countLines(adapter)];
if (adapterLines > productLines * MAX_ADAPTER_SHARE)
  violations.push(`${ADAPTER}: exceeds a sixth of the lines of src`);
for (const violation of violations) process.stderr.write(`${violation}\n`);
process.stdout.write(
  `layers: ${violations.length} violation(s); ${ADAPTER} ${adapterLines} lines, src ${productLines}\n`,
);
process.exit(violations.length === 0 ? 0 : 1);
