/**
 * Time of day as the whole fleet agrees on it: the store's steady clock, plus the median of what the nodes'
 * own clocks add to it. One machine's clock may be off, or jump by seconds and return; that does not move the
 * median.
 */
import type { RecordStore } from '../../../protocol/record-store.js';

/** One node's view of the fleet's time. */
export class FleetTime {
  private medianOffsetMs: number | undefined;

  constructor(
    private readonly store: Pick<RecordStore, 'nowMs'>,
    /** This machine's time of day, milliseconds since the start of 1970. */
    private readonly timeOfDayMs: () => number = Date.now,
  ) {}

  /** What this node's own clock adds to the store's, milliseconds. */
  get localOffsetMs(): number {
    return this.timeOfDayMs() - this.store.nowMs();
  }

  /** Time of day, milliseconds since 1970; by this node's own clock until offsets are known. */
  now(): number {
    if (this.medianOffsetMs === undefined) return this.timeOfDayMs();
    return this.store.nowMs() + this.medianOffsetMs;
  }

  /** Takes the offsets (milliseconds) of all running nodes; without any the last agreement stays. */
  setNodeOffsets(offsetsMs: readonly number[]): void {
    const sorted = [...offsetsMs].sort((left, right) => left - right);
    const median = sorted[Math.floor(sorted.length / 2)];
    if (median !== undefined) this.medianOffsetMs = median;
  }
}
