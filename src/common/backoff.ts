/** Exponential back-off, milliseconds: `firstMs` doubled `repeats` times, at most `maxMs`. */
export function exponentialMs(firstMs: number, repeats: number, maxMs: number): number {
  return Math.min(maxMs, firstMs * 2 ** repeats);
}
