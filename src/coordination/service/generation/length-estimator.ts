/**
 * Estimates the lengths of samples, in events, from the token estimates of submitters and from the lengths of
 * finished samples. A job ends with its longest sample, so the longest start first, at the fastest replicas.
 * Kept in memory only: after a restart, the order follows the token estimates alone.
 */
import type { JobItem } from '../../../protocol/service/batch-job.js';

/** Weight of the newest sample in the exponential moving averages; about twenty samples determine them. */
const SMOOTHING_FACTOR = 0.05;
/** Fraction of its length by which a sample beyond its estimate is expected to grow. */
const OVERRUN_GROWTH = 0.5;
/** Bounds the memory; the most recent unfinished samples are kept. */
const MAX_UNFINISHED_SAMPLES = 4_096;

export class LengthEstimator {
  /** Average logarithm of the estimated tokens per event; logarithmic since estimation errors are factors. */
  private logTokensPerEvent: number | undefined;
  private averageEvents = 0;
  /** Number of events of samples that were cancelled with their job, by item ID, oldest first. */
  private readonly unfinished = new Map<string, number>();

  /** Updates the averages with a finished sample. */
  recordFinished(item: JobItem, events: number): void {
    this.unfinished.delete(item.id);
    if (events === 0) return;
    this.averageEvents += (events - this.averageEvents) * (this.averageEvents === 0 ? 1 : SMOOTHING_FACTOR);
    if (!item.expectedTokens) return;
    const logRatio = Math.log(item.expectedTokens / events);
    this.logTokensPerEvent ??= logRatio;
    this.logTokensPerEvent += (logRatio - this.logTokensPerEvent) * SMOOTHING_FACTOR;
  }

  /** Records a sample that was cancelled after `events` events, since a later job may contain it again. */
  recordUnfinished(item: JobItem, events: number): void {
    this.unfinished.delete(item.id);
    this.unfinished.set(item.id, events);
    const [oldest] = this.unfinished.keys();
    if (this.unfinished.size > MAX_UNFINISHED_SAMPLES && oldest !== undefined) this.unfinished.delete(oldest);
  }

  /** Whether the sample was cancelled with an earlier job. */
  isUnfinished({ id }: JobItem): boolean {
    return this.unfinished.has(id);
  }

  /** Expected length of the finished sample, in events; 0 while unknown. */
  expectedEvents({ id, expectedTokens }: JobItem): number {
    const minEvents = (this.unfinished.get(id) ?? 0) * (1 + OVERRUN_GROWTH);
    if (expectedTokens === undefined || this.logTokensPerEvent === undefined)
      return Math.max(minEvents, this.averageEvents);
    return Math.max(minEvents, expectedTokens / Math.exp(this.logTokensPerEvent));
  }

  /** Expected number of further events of a sample that has `events` so far. */
  remainingEvents(item: JobItem, events: number): number {
    return Math.max(this.expectedEvents(item) - events, events * OVERRUN_GROWTH);
  }

  /** Sorts items by expected length, longest first; items of unknown length keep their order. */
  sortLongestFirst(items: readonly JobItem[]): JobItem[] {
    const lengths = new Map(items.map((item) => [item, this.sortKey(item)]));
    return [...items].sort((left, right) => (lengths.get(right) ?? 0) - (lengths.get(left) ?? 0));
  }

  /** Expected events, or estimated tokens until the first sample has finished. */
  private sortKey(item: JobItem): number {
    return this.logTokensPerEvent === undefined ? (item.expectedTokens ?? 0) : this.expectedEvents(item);
  }
}
