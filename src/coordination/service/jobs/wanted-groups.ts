/**
 * Which groups of a job its submitter still waits for. It ends the job once a number of groups are whole, those that an
 * earlier job left unfinished among them.
 */
import { groupBy } from '../../../common/collections.js';
import type { JobItem } from '../../../protocol/service/batch-job.js';

/** The groups of one job. */
export class WantedGroups {
  /** Items that have no result yet, by group; groups that are whole are not in it. */
  private readonly openItems: Map<string, number>;
  private wantedCount: number;
  private readonly carriedOver: Set<string>;

  /**
   * `desired` is the number of whole groups that the submitter waits for; `isCarriedOver` tells whether an item was left
   * unfinished by an earlier job.
   */
  constructor(items: readonly JobItem[], desired: number, isCarriedOver: (item: JobItem) => boolean) {
    const groups = groupBy(items, ({ group }) => group);
    this.openItems = new Map([...groups].map(([group, own]) => [group, own.length]));
    this.wantedCount = Math.min(desired, groups.size);
    this.carriedOver = new Set(items.filter(isCarriedOver).map(({ group }) => group));
  }

  /** Whether the submitter has all that it waits for, as far as this node knows. */
  get areComplete(): boolean {
    return this.wantedCount <= 0 && this.carriedOver.size === 0;
  }

  /** Takes note of a result. */
  note({ group }: JobItem): void {
    const left = (this.openItems.get(group) ?? 0) - 1;
    this.openItems.set(group, left);
    if (left !== 0) return;
    this.openItems.delete(group);
    this.carriedOver.delete(group);
    this.wantedCount -= 1;
  }
}
