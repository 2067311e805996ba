/**
 * Tells which groups of a job its submitter still waits for. It ends the job once a number of groups are
 * complete, those that an earlier job left unfinished among them. Only an estimate: it decides when results
 * are listed, not which.
 */
import { groupBy } from '../../../common/collections.js';
import type { JobItem } from '../../../protocol/service/batch-job.js';

/** The groups of one job. */
export class DesiredGroups {
  /** Number of items without a result, by group; without complete groups. */
  private readonly openItems: Map<string, number>;
  private remainingCount: number;
  private readonly unfinishedGroups: Set<string>;

  /** `desired`: complete groups that are wanted; `isCarriedOver`: an earlier job left the item unfinished. */
  constructor(items: readonly JobItem[], desired: number, isCarriedOver: (item: JobItem) => boolean) {
    const groups = groupBy(items, ({ group }) => group);
    this.openItems = new Map([...groups].map(([group, own]) => [group, own.length]));
    this.remainingCount = Math.min(desired, groups.size);
    this.unfinishedGroups = new Set(items.filter(isCarriedOver).map(({ group }) => group));
  }

  /** Whether the submitter has all that it waits for, by the results that this node knows. */
  get areComplete(): boolean {
    return this.remainingCount <= 0 && this.unfinishedGroups.size === 0;
  }

  /** Notes that an item has a result. */
  recordResult({ group }: JobItem): void {
    const remaining = (this.openItems.get(group) ?? 0) - 1;
    this.openItems.set(group, remaining);
    if (remaining !== 0) return;
    this.openItems.delete(group);
    this.unfinishedGroups.delete(group);
    this.remainingCount -= 1;
  }
}
