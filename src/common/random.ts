/** Seeded pseudo-random numbers for repeatable runs, backed by `pure-rand`. */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Number of distinct fractions: the largest 31-bit integer. */
const RESOLUTION = 0x7fffffff;

export class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A uniform integer in `[0, exclusiveMax)`. */
  integer(exclusiveMax: number): number {
    return uniformInt(this.generator, 0, exclusiveMax - 1);
  }

  /** A uniform number in `[0, 1)`. */
  fraction(): number {
    return this.integer(RESOLUTION) / RESOLUTION;
  }

  /** One element of a non-empty list. */
  pick<T>(items: readonly T[]): T {
    return items[this.integer(items.length)] as T;
  }

  /** Up to `count` distinct elements, in random order. */
  sample<T>(items: readonly T[], count: number): T[] {
    const remaining = [...items];
    const chosen: T[] = [];
    while (remaining.length > 0 && chosen.length < count) {
      const [item] = remaining.splice(this.integer(remaining.length), 1);
      chosen.push(item as T);
    }
    return chosen;
  }
}
