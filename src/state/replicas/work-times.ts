/**
 * How long requests of each kind usually take at a replica of usual speed. Replicas serve kinds of very different length, so how slow a
 * replica is shows only against the usual time of what it was given.
 */

/** Weight of the newest request: some ten of them make a figure. */
const WEIGHT = 0.1;
/** Kinds that are remembered. */
const MAX_KINDS = 1_000;
/** Usual time of a kind that was never measured, milliseconds. */
export const UNMEASURED_MS = 50;

/** The usual times at one node. */
export class WorkTimes {
  private readonly usual = new Map<string, number>();

  /** Usual time of a kind, milliseconds. */
  usualMs(kind: string): number {
    return this.usual.get(kind) ?? UNMEASURED_MS;
  }

  /**
   * Takes the time of a request at a replica that takes `slowness` times the usual. Returns how many times the usual it took there:
   * 1 for the first of its kind.
   */
  note(kind: string, tookMs: number, slowness: number): number {
    const known = this.usual.get(kind);
    const atUsualMs = tookMs / slowness;
    if (known === undefined && this.usual.size >= MAX_KINDS) this.usual.clear();
    this.usual.set(kind, known === undefined ? atUsualMs : known + (atUsualMs - known) * WEIGHT);
    return known === undefined ? 1 : tookMs / Math.max(known, Number.EPSILON);
  }
}
