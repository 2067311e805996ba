/** A number from 0 to 2^32 - 1 that follows from a text alone (FNV-1a): for spreading things, not for telling them apart. */
export function spread(text: string): number {
  let hash = 0x811c9dc5;
  for (let at = 0; at < text.length; at += 1) hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
  return hash >>> 0;
}
