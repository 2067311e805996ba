/**
 * Estimates which groups of a job its submitter still waits for. The submitter ends the job once the desired
 * number of groups is complete, including those that an earlier job left unfinished. Affects only when results
 * are listed, not which.
 */
import { groupBy } from '../../../common/collections.js';
import type { JobItem } from '../../../protocol/service/batch-job.js';

export class DesiredGroups {
  /** Number of items without a result, by group; complete groups are absent. */
  private readonly openItems: Map<string, number>;
  private remainingCount: number;
  private readonly unfinishedGroups: Set<string>;

  /**
   * `desired`: number of groups to complete. `isUnfinished`: whether an earlier job left the item unfinished.
   */
  constructor(items: readonly JobItem[], desired: number, isUnfinished: (item: JobItem) => boolean) {
    const groups = groupBy(items, ({ group }) => group);
    this.openItems = new Map([...groups].map(([group, members]) => [group, members.length]));
    this.remainingCount = Math.min(desired, groups.size);
    this.unfinishedGroups = new Set(items.filter(isUnfinished).map(({ group }) => group));
  }

  /** Whether the submitter has everything it waits for, according to the results known to this node. */
  get areComplete(): boolean {
    return this.remainingCount <= 0 && this.unfinishedGroups.size === 0;
  }

  /** Records that an item has a result. */
  recordResult({ group }: JobItem): void {
    const remaining = (this.openItems.get(group) ?? 0) - 1;
    this.openItems.set(group, remaining);
    if (remaining !== 0) return;
    this.openItems.delete(group);
    this.unfinishedGroups.delete(group);
    this.remainingCount -= 1;
  }
}
