/** Waiting for conditions. The limit only ends a test that can no longer succeed. */
import { sleep } from '../../src/common/clock.js';

const LIMIT_MS = 60_000;
const POLL_MS = 25;

/** Resolves once `condition` gives a value other than `undefined` or false. */
export async function until<T>(what: string, condition: () => T | Promise<T>): Promise<NonNullable<T>> {
  const deadline = Date.now() + LIMIT_MS;
  for (;;) {
    const value = await condition();
    if (value !== undefined && value !== false && value !== null) return value;
    if (Date.now() > deadline) throw new Error(`waited in vain until ${what}`);
    await sleep(POLL_MS);
  }
}
