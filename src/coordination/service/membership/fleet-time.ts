/**
 * Time of day shared by all nodes: the store's steady clock plus the median offset of the nodes' own clocks.
 * A few clocks that are wrong, or jump and return, do not move the median.
 */
import type { RecordStore } from '../../../protocol/record-store.js';

export class FleetTime {
  private medianOffsetMs: number | undefined;

  constructor(
    private readonly store: Pick<RecordStore, 'nowMs'>,
    /** This machine's time of day, milliseconds since the Unix epoch. */
    private readonly timeOfDayMs: () => number = Date.now,
  ) {}

  /** Offset of this machine's clock from the store's, milliseconds. */
  get localOffsetMs(): number {
    return this.timeOfDayMs() - this.store.nowMs();
  }

  /** Time of day, milliseconds since the Unix epoch; this machine's own until offsets are known. */
  now(): number {
    if (this.medianOffsetMs === undefined) return this.timeOfDayMs();
    return this.store.nowMs() + this.medianOffsetMs;
  }

  /** Sets the clock offsets of all running nodes, milliseconds. An empty list keeps the last median. */
  setNodeOffsets(offsetsMs: readonly number[]): void {
    const sorted = [...offsetsMs].sort((left, right) => left - right);
    const median = sorted[Math.floor(sorted.length / 2)];
    if (median !== undefined) this.medianOffsetMs = median;
  }
}
