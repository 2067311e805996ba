/** Recent actions of a task's leaders, such as load commands to replicas, for the handover guard. */

/** Stored format: the latest action of a node on a target. */
export interface RecentAction {
  readonly target: string;
  readonly node: string;
  /** Latest possible start of the action on the store's clock. */
  readonly begunByMs: number;
}

/** Matches every target. */
export const ANY_TARGET = '*';

/**
 * Over this limit the actions of each node are merged into one on `ANY_TARGET`, to bound the record's size:
 * one action for each replica of a large site, some tens of kilobytes.
 */
const MAX_ACTIONS = 500;

/** Whether no other node has a recent action on `target`. */
export function isUnguarded(recent: readonly RecentAction[], target: string, node: string): boolean {
  return !recent.some((action) => action.node !== node && [target, ANY_TARGET].includes(action.target));
}

/** Adds actions, each of which replaces the node's earlier action on the same target. */
export function addActions(
  recent: readonly RecentAction[],
  added: readonly RecentAction[],
): readonly RecentAction[] {
  const isReplaced = (action: RecentAction) =>
    added.some(({ node, target }) => node === action.node && target === action.target);
  const all = [...recent.filter((action) => !isReplaced(action)), ...added];
  return all.length <= MAX_ACTIONS ? all : mergeByNode(all);
}

function mergeByNode(actions: readonly RecentAction[]): RecentAction[] {
  const latest = new Map<string, number>();
  for (const { node, begunByMs } of actions)
    latest.set(node, Math.max(begunByMs, latest.get(node) ?? Number.NEGATIVE_INFINITY));
  return [...latest].map(([node, begunByMs]) => ({ target: ANY_TARGET, node, begunByMs }));
}
