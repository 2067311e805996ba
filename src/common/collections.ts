/** Collection helpers missing from the runtime. */

/** Groups entries by key; keys and entries keep their order. */
export function groupBy<Entry, Key>(
  entries: readonly Entry[],
  keyOf: (entry: Entry) => Key,
): Map<Key, Entry[]> {
  const groups = new Map<Key, Entry[]>();
  for (const entry of entries) {
    const key = keyOf(entry);
    const group = groups.get(key);
    if (group) group.push(entry);
    else groups.set(key, [entry]);
  }
  return groups;
}
