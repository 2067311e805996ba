/** Exponential back-off: `firstMs` doubled with each retry, up to `maxMs`. */
export function exponentialBackoffMs(firstMs: number, retries: number, maxMs: number): number {
  return Math.min(maxMs, firstMs * 2 ** retries);
}
