/**
 * Which file of the product may import which: layers go one way, rooms within a layer too, a room is entered
 * through its index, and what serves one of the two interfaces does not import what serves the other.
 */
import { dirname, join, normalize } from 'node:path';

/** A source file: its path from the root of the repository, and its text. */
export interface Source {
  readonly path: string;
  readonly text: string;
}

const ADAPTER = 'platform';
const INDEX = 'index.ts';

/** Folders that files of a layer may import, besides their own. */
const LAYERS: Readonly<Record<string, readonly string[]>> = {
  'src/common': [],
  'src/transport': ['src/common'],
  'src/protocol': ['src/transport', 'src/common'],
  'src/state': ['src/protocol', 'src/transport', 'src/common'],
  'src/coordination': ['src/state', 'src/protocol', 'src/transport', 'src/common'],
  'src/node': ['src/coordination', 'src/state', 'src/protocol', 'src/transport', 'src/common'],
  'src/cli': ['src/node', 'src/state', 'src/protocol', 'src/transport', 'src/common'],
};

/**
 * Rooms of a layer; each may import those before it. Rooms below `resource` serve nodes of the product's own
 * interface, rooms below `service` those of a platform's, all others both.
 */
const MODULES: Readonly<Record<string, readonly string[]>> = {
  'src/protocol': [],
  'src/state': [
    'store',
    'resource/tables',
    'resource/leases',
    'resource/configuration',
    'resource/backends',
    'resource/samples',
    'service/store',
    'service/configuration',
    'service/replicas',
    'service/admission',
    'service/usage',
    'service/jobs',
  ],
  'src/coordination': [
    'feeds',
    'resource/configuration',
    'resource/membership',
    'resource/singleton-tasks',
    'resource/requests',
    'resource/weights',
    'resource/rollouts',
    'service/membership',
    'service/leadership',
    'service/usage',
    'service/dispatch',
    'service/requests',
    'service/weights',
    'service/generation',
    'service/jobs',
  ],
  'src/node': [],
};

/** Folders of a layer that hold what serves one interface only. */
const INTERFACES = ['resource', 'service'] as const;

const IMPORT = /from\s+'(\.[^']+)'|import\s+'(\.[^']+)'/g;

/** The layer that a path stands in, for example `src/state`. */
function layerOf(path: string): string {
  const parts = path.split('/');
  return parts[0] === ADAPTER ? ADAPTER : parts.slice(0, 2).join('/');
}

/** The interface that a path serves, if it serves one only. */
function interfaceOf(path: string): string | undefined {
  const folder = path.split('/')[2];
  return layerOf(path) in MODULES ? INTERFACES.find((name) => name === folder) : undefined;
}

/** The room that a path stands in, if its layer has rooms and the path is not a file above them. */
function moduleOf(path: string): string | undefined {
  if ((MODULES[layerOf(path)] ?? []).length === 0) return undefined;
  const folders = path.split('/').slice(2, -1);
  const module = folders.slice(0, interfaceOf(path) === undefined ? 1 : 2);
  return module.length === 0 || module.join('/') === interfaceOf(path) ? undefined : module.join('/');
}

/** Paths that a source imports, from the root of the repository. */
function importsOf({ path, text }: Source): string[] {
  const targets = [...text.matchAll(IMPORT)].map((match) => match[1] ?? match[2] ?? '');
  return targets.map((target) => normalize(join(dirname(path), target)).replace(/\.js$/, '.ts'));
}

/** Violation of the order of layers by a file of the product. */
function layerViolation(from: string, to: string): string | undefined {
  const allowed = LAYERS[layerOf(from)];
  if (!allowed) return `${from}: stands in no known layer`;
  const target = layerOf(to);
  return target === layerOf(from) || allowed.includes(target)
    ? undefined
    : `${from}: ${layerOf(from)} must not import ${target}`;
}

/** Violation of the division between the two interfaces. */
function interfaceViolation(from: string, to: string): string | undefined {
  const [importer, imported] = [interfaceOf(from), interfaceOf(to)];
  if (imported === undefined || importer === imported || !(layerOf(from) in MODULES)) return undefined;
  return importer === undefined
    ? `${from}: serves both interfaces and must not import ${to}`
    : `${from}: the ${importer} interface must not import the ${imported} interface`;
}

/** Violation of the order of rooms, or of the rule that a room is entered through its index. */
function moduleViolation(from: string, to: string): string | undefined {
  const layer = layerOf(to);
  const module = moduleOf(to);
  if (module === undefined) return undefined;
  const modules = MODULES[layer] ?? [];
  if (!modules.includes(module)) return `${to}: ${layer} has no room ${module}`;
  const own = layer === layerOf(from) ? moduleOf(from) : undefined;
  if (own === module) return undefined;
  if (!to.endsWith(`/${INDEX}`)) return `${from}: ${layer}/${module} is entered through its index`;
  if (own !== undefined && modules.indexOf(module) > modules.indexOf(own))
    return `${from}: ${layer}/${own} must not import ${layer}/${module}, which comes after it`;
  return undefined;
}

/**
 * Violations of a source. Files outside the product may import any layer, but enter rooms through their
 * index.
 */
export function importViolations(source: Source): string[] {
  const isProduct = source.path.startsWith('src/');
  return importsOf(source).flatMap((target) =>
    [
      isProduct ? layerViolation(source.path, target) : undefined,
      isProduct ? interfaceViolation(source.path, target) : undefined,
      moduleViolation(source.path, target),
    ].filter((violation) => violation !== undefined),
  );
}

/** The first circle of imports found, as paths whose last one imports the first; undefined without one. */
export function findImportCycle(sources: readonly Source[]): string[] | undefined {
  const edges = new Map(sources.map((source) => [source.path, importsOf(source)]));
  const done = new Set<string>();
  const visit = (path: string, ancestors: readonly string[]): string[] | undefined => {
    if (ancestors.includes(path)) return ancestors.slice(ancestors.indexOf(path));
    if (done.has(path)) return undefined;
    for (const target of edges.get(path) ?? []) {
      const cycle = visit(target, [...ancestors, path]);
      if (cycle) return cycle;
    }
    done.add(path);
    return undefined;
  };
  for (const path of edges.keys()) {
    const cycle = visit(path, []);
    if (cycle) return cycle;
  }
  return undefined;
}
