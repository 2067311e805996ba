/** FNV-1a hash, 0 to 2^32 - 1: distributes keys evenly and repeatably. Not collision-resistant. */
export function fnv1aHash(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  return hash >>> 0;
}
