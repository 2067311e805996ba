/**
 * Expected lengths of samples. A job ends when its longest samples do, so these start first, at the fastest
 * replicas. Submitters estimate the tokens of a sample; how many tokens an event carries is learnt from
 * finished samples.
 *
 * Owns what a node learnt, in memory: after a restart the order is that of the estimates alone.
 */
import type { JobItem } from '../../../protocol/service/batch-job.js';

/** Weight of the newest sample in the moving averages. Chosen, not measured: some twenty samples decide. */
const SMOOTHING_FACTOR = 0.05;
/** Share of its length by which a sample beyond its estimate is expected to grow. Chosen, not measured. */
const OVERRUN_GROWTH = 0.5;
/** Most unfinished samples remembered, the newest. Chosen, not measured: bounds the memory. */
const MAX_UNFINISHED_SAMPLES = 4_096;

/** Lengths of samples in events, learnt from finished ones. */
export class LengthEstimator {
  /** Mean log of estimated tokens per event: estimates are right at the median, errors are factors. */
  private logTokensPerEvent: number | undefined;
  private averageEvents = 0;
  /** Events of samples that were cancelled with their job, by item, oldest first. */
  private readonly unfinished = new Map<string, number>();

  /** Learns from a finished sample. */
  recordFinished(item: JobItem, events: number): void {
    this.unfinished.delete(item.id);
    if (events === 0) return;
    this.averageEvents += (events - this.averageEvents) * (this.averageEvents === 0 ? 1 : SMOOTHING_FACTOR);
    if (!item.expectedTokens) return;
    const measured = Math.log(item.expectedTokens / events);
    this.logTokensPerEvent ??= measured;
    this.logTokensPerEvent += (measured - this.logTokensPerEvent) * SMOOTHING_FACTOR;
  }

  /** Remembers a sample that was cancelled after `events` events: a later job may contain it again. */
  recordUnfinished(item: JobItem, events: number): void {
    this.unfinished.delete(item.id);
    this.unfinished.set(item.id, events);
    const [oldest] = this.unfinished.keys();
    if (this.unfinished.size > MAX_UNFINISHED_SAMPLES && oldest !== undefined) this.unfinished.delete(oldest);
  }

  /** Whether an earlier job ended before this sample was finished. */
  isUnfinished({ id }: JobItem): boolean {
    return this.unfinished.has(id);
  }

  /** Expected events of the finished sample; 0 when nothing is known. */
  expectedEvents({ id, expectedTokens }: JobItem): number {
    const atLeast = (this.unfinished.get(id) ?? 0) * (1 + OVERRUN_GROWTH);
    if (expectedTokens === undefined || this.logTokensPerEvent === undefined)
      return Math.max(atLeast, this.averageEvents);
    return Math.max(atLeast, expectedTokens / Math.exp(this.logTokensPerEvent));
  }

  /** Expected further events of a sample that has `events` so far. */
  remainingEvents(item: JobItem, events: number): number {
    return Math.max(this.expectedEvents(item) - events, events * OVERRUN_GROWTH);
  }

  /**
   * Items in the order in which they start: longest first; in the order of submission where nothing is known.
   */
  sortLongestFirst(items: readonly JobItem[]): JobItem[] {
    const lengths = new Map(items.map((item) => [item, this.sortKey(item)]));
    return [...items].sort((left, right) => (lengths.get(right) ?? 0) - (lengths.get(left) ?? 0));
  }

  /** Before any sample was finished, estimated tokens stand in for events. */
  private sortKey(item: JobItem): number {
    return this.logTokensPerEvent === undefined ? (item.expectedTokens ?? 0) : this.expectedEvents(item);
  }
}
