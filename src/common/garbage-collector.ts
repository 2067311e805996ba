/**
 * Collects garbage on demand. V8 starts a collection by the size of its heap and, for the memory of buffers, only
 * after tens of megabytes: too late for a process whose machine has little more than that.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** What is collected: all objects, or only those that were created lately, which takes about a millisecond. */
export type Generation = 'all' | 'young';

type Collect = (options?: { readonly type: 'minor' }) => void;

let collect: Collect | undefined;

/** The function is only visible to contexts that are created while the flag is set. */
function exposeCollect(): Collect {
  setFlagsFromString('--expose-gc');
  const exposed = runInNewContext('gc') as Collect;
  setFlagsFromString('--no-expose-gc');
  return exposed;
}

/** Collects garbage before it returns; the memory of old buffers is free then, too. */
export function collectGarbage(generation: Generation): void {
  collect ??= exposeCollect();
  if (generation === 'all') collect();
  // Another thread frees the buffers that a collection found; the next collection waits for it.
  collect({ type: 'minor' });
}
