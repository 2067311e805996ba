/** JSON merge patch (RFC 7396). */

type Tree = Record<string, unknown>;

function isTree(value: unknown): value is Tree {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** The target with the patch applied; null in the patch removes a field. */
export function mergePatch(target: unknown, patch: unknown): unknown {
  if (!isTree(patch)) return patch;
  const result: Tree = isTree(target) ? { ...target } : {};
  for (const [name, value] of Object.entries(patch)) {
    if (value === null) delete result[name];
    else result[name] = mergePatch(result[name], value);
  }
  return result;
}
