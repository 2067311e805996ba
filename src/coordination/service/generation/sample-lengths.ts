/**
 * How long samples are expected to become. A job ends when its longest samples do, so these start first and run where
 * they are made fastest. Submitters estimate the tokens of a sample; how many tokens an event carries is learnt from
 * finished samples.
 */
import type { JobItem } from '../../../protocol/service/batch-job.js';

/** Weight of the newest sample in the moving average. */
const AVERAGE_WEIGHT = 0.05;
/** A sample that is longer than estimated is expected to grow by this part of what it has. */
const OVERRUN = 0.5;
/** Unfinished samples whose events are remembered. */
const MAX_UNFINISHED = 4_096;

/** Lengths of samples in events, learnt from finished ones. */
export class SampleLengths {
  /** Mean logarithm of the estimated tokens for each event: estimates are right at the median, their errors are factors. */
  private logTokensPerEvent: number | undefined;
  private averageEvents = 0;
  /** Events of samples that were broken off with their job, by item; the oldest first. */
  private readonly unfinished = new Map<string, number>();

  /** Takes a finished sample. */
  note(item: JobItem, events: number): void {
    this.unfinished.delete(item.id);
    if (events === 0) return;
    this.averageEvents += (events - this.averageEvents) * (this.averageEvents === 0 ? 1 : AVERAGE_WEIGHT);
    if (!item.expectedTokens) return;
    const measured = Math.log(item.expectedTokens / events);
    this.logTokensPerEvent ??= measured;
    this.logTokensPerEvent += (measured - this.logTokensPerEvent) * AVERAGE_WEIGHT;
  }

  /** Takes a sample that was broken off after `events` events: a later job may ask for it again. */
  noteUnfinished(item: JobItem, events: number): void {
    this.unfinished.delete(item.id);
    this.unfinished.set(item.id, events);
    const [oldest] = this.unfinished.keys();
    if (this.unfinished.size > MAX_UNFINISHED && oldest !== undefined) this.unfinished.delete(oldest);
  }

  /** Whether an earlier job ended before this sample did. */
  isUnfinished({ id }: JobItem): boolean {
    return this.unfinished.has(id);
  }

  /** Events that a sample is expected to have in the end; 0 when nothing is known. */
  expected({ id, expectedTokens }: JobItem): number {
    const atLeast = (this.unfinished.get(id) ?? 0) * (1 + OVERRUN);
    if (expectedTokens === undefined || this.logTokensPerEvent === undefined)
      return Math.max(atLeast, this.averageEvents);
    return Math.max(atLeast, expectedTokens / Math.exp(this.logTokensPerEvent));
  }

  /** Events that a sample with `events` so far still lacks, as far as one can tell. */
  remaining(item: JobItem, events: number): number {
    return Math.max(this.expected(item) - events, events * OVERRUN);
  }

  /** Items in the order in which they start, the longest first; without any knowledge the order of the submission. */
  longestFirst(items: readonly JobItem[]): JobItem[] {
    const lengths = new Map(items.map((item) => [item, this.orderingLength(item)]));
    return [...items].sort((left, right) => (lengths.get(right) ?? 0) - (lengths.get(left) ?? 0));
  }

  /** Before any sample has ended, tokens order as well as events. */
  private orderingLength(item: JobItem): number {
    return this.logTokensPerEvent === undefined ? (item.expectedTokens ?? 0) : this.expected(item);
  }
}
