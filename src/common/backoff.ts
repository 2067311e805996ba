/** Exponential back-off, milliseconds: `firstMs` doubled `repeats` times, at most `maxMs`. */
export function exponentialBackoffMs(firstMs: number, retries: number, maxMs: number): number {
  return Math.min(maxMs, firstMs * 2 ** retries);
}
