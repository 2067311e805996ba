/**
 * Which file of the product may import which: layers go one way, rooms within a layer too, and a room is entered through
 * its index.
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

/** Rooms of a layer; each may import those before it. */
const ROOMS: Readonly<Record<string, readonly string[]>> = {
  'src/state': ['store', 'leases', 'configuration', 'replicas', 'admission', 'usage', 'jobs', 'samples'],
  'src/coordination': [
    'configuration',
    'membership',
    'duties',
    'usage',
    'dispatch',
    'requests',
    'weights',
    'samples',
    'jobs',
  ],
};

const IMPORT = /from\s+'(\.[^']+)'|import\s+'(\.[^']+)'/g;

/** The layer that a path stands in, for example `src/state`. */
export function layerOf(path: string): string {
  const parts = path.split('/');
  return parts[0] === ADAPTER ? ADAPTER : parts.slice(0, 2).join('/');
}

/** The room that a path stands in, if its layer has rooms and the path is not a file of the layer itself. */
function roomOf(path: string): string | undefined {
  const rooms = ROOMS[layerOf(path)];
  const folder = path.split('/')[2];
  return rooms && folder && !folder.endsWith('.ts') ? folder : undefined;
}

/** Paths that a source imports, from the root of the repository. */
function importsOf({ path, text }: Source): string[] {
  const targets = [...text.matchAll(IMPORT)].map((match) => match[1] ?? match[2] ?? '');
  return targets.map((target) => normalize(join(dirname(path), target)).replace(/\.js$/, '.ts'));
}

/** What breaks the order of layers in a file of the product. */
function layerBreach(from: string, to: string): string | undefined {
  const allowed = LAYERS[layerOf(from)];
  if (!allowed) return `${from}: stands in no known layer`;
  const target = layerOf(to);
  return target === layerOf(from) || allowed.includes(target)
    ? undefined
    : `${from}: ${layerOf(from)} must not import ${target}`;
}

/** What breaks the order of rooms, or enters one past its index. */
function roomBreach(from: string, to: string): string | undefined {
  const layer = layerOf(to);
  const room = roomOf(to);
  if (room === undefined) return undefined;
  const rooms = ROOMS[layer] ?? [];
  if (!rooms.includes(room)) return `${to}: ${layer} has no room ${room}`;
  const own = layer === layerOf(from) ? roomOf(from) : undefined;
  if (own === room) return undefined;
  if (!to.endsWith(`/${INDEX}`)) return `${from}: ${layer}/${room} is entered through its index`;
  if (own !== undefined && rooms.indexOf(room) > rooms.indexOf(own))
    return `${from}: ${layer}/${own} must not import ${layer}/${room}, which comes after it`;
  return undefined;
}

/** What a source breaks. Files outside the product may import any layer, but enter rooms through their index. */
export function importBreaches(source: Source): string[] {
  const isProduct = source.path.startsWith('src/');
  return importsOf(source).flatMap((target) =>
    [isProduct ? layerBreach(source.path, target) : undefined, roomBreach(source.path, target)].filter(
      (breach) => breach !== undefined,
    ),
  );
}

/** The first circle of imports found, as paths whose last one imports the first; undefined without one. */
export function importCircle(sources: readonly Source[]): string[] | undefined {
  const edges = new Map(sources.map((source) => [source.path, importsOf(source)]));
  const done = new Set<string>();
  const visit = (path: string, trail: readonly string[]): string[] | undefined => {
    if (trail.includes(path)) return trail.slice(trail.indexOf(path));
    if (done.has(path)) return undefined;
    for (const target of edges.get(path) ?? []) {
      const circle = visit(target, [...trail, path]);
      if (circle) return circle;
    }
    done.add(path);
    return undefined;
  };
  for (const path of edges.keys()) {
    const circle = visit(path, []);
    if (circle) return circle;
  }
  return undefined;
}
