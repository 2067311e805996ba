/** FNV-1a hash of a text, 0 to 2^32 - 1: for an even, repeatable spread. Not collision-resistant. */
export function spread(text: string): number {
  let hash = 0x811c9dc5;
  for (let at = 0; at < text.length; at += 1) hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
  return hash >>> 0;
}
