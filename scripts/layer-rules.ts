/**
 * Import rules of the product. Imports between layers, and between the modules of a layer, go in one
 * direction; a module is imported through its index; and code that serves one of the two interfaces does not
 * import code that serves the other.
 */
import { dirname, join, normalize } from 'node:path';

export interface Source {
  /** Relative to the root of the repository. */
  readonly path: string;
  readonly text: string;
}

const ADAPTER = 'platform';
const INDEX = 'index.ts';

/** Layers, and the other layers that each may import. */
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
 * Modules of each layer, in order; a module may import those before it. Modules below `resource` serve the
 * product's own interface, those below `service` the interface of a platform, all others both.
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

/** Folders of a layer whose code serves a single interface. */
const INTERFACES = ['resource', 'service'] as const;

const IMPORT = /from\s+'(\.[^']+)'|import\s+'(\.[^']+)'/g;

/** The layer that a path belongs to, for example `src/state`. */
function layerOf(path: string): string {
  const parts = path.split('/');
  return parts[0] === ADAPTER ? ADAPTER : parts.slice(0, 2).join('/');
}

/** The interface that a path serves, if it serves only one. */
function interfaceOf(path: string): string | undefined {
  const folder = path.split('/')[2];
  return layerOf(path) in MODULES ? INTERFACES.find((name) => name === folder) : undefined;
}

/** The module that a path belongs to; `undefined` if it is outside all modules of its layer. */
function moduleOf(path: string): string | undefined {
  if ((MODULES[layerOf(path)] ?? []).length === 0) return undefined;
  const folders = path.split('/').slice(2, -1);
  const module = folders.slice(0, interfaceOf(path) === undefined ? 1 : 2);
  return module.length === 0 || module.join('/') === interfaceOf(path) ? undefined : module.join('/');
}

/** Paths that a source imports, relative to the root of the repository. */
function importsOf({ path, text }: Source): string[] {
  const targets = [...text.matchAll(IMPORT)].map((match) => match[1] ?? match[2] ?? '');
  return targets.map((target) => normalize(join(dirname(path), target)).replace(/\.js$/, '.ts'));
}

function layerViolation(from: string, to: string): string | undefined {
  const allowed = LAYERS[layerOf(from)];
  if (!allowed) return `${from}: belongs to no known layer`;
  const target = layerOf(to);
  return target === layerOf(from) || allowed.includes(target)
    ? undefined
    : `${from}: ${layerOf(from)} must not import ${target}`;
}

function interfaceViolation(from: string, to: string): string | undefined {
  const [importer, imported] = [interfaceOf(from), interfaceOf(to)];
  if (imported === undefined || importer === imported || !(layerOf(from) in MODULES)) return undefined;
  return importer === undefined
    ? `${from}: serves both interfaces and must not import ${to}`
    : `${from}: the ${importer} interface must not import the ${imported} interface`;
}

/** A violation of the order of modules, or an import that bypasses a module's index. */
function moduleViolation(from: string, to: string): string | undefined {
  const layer = layerOf(to);
  const module = moduleOf(to);
  if (module === undefined) return undefined;
  const modules = MODULES[layer] ?? [];
  if (!modules.includes(module)) return `${to}: ${layer} has no module ${module}`;
  const own = layer === layerOf(from) ? moduleOf(from) : undefined;
  if (own === module) return undefined;
  if (!to.endsWith(`/${INDEX}`)) return `${from}: ${layer}/${module} must be imported through its index`;
  if (own !== undefined && modules.indexOf(module) > modules.indexOf(own))
    return `${from}: ${layer}/${own} must not import ${layer}/${module}, which comes after it`;
  return undefined;
}

/**
 * Describes the violations in a source. Files outside the product may import any layer, but only through the
 * index of a module.
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

/** The first import cycle found, as paths of which the last imports the first. */
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
