/**
 * Recent actions of a task's leaders, such as load commands to replicas. A leader on another machine keeps
 * the handover guard from each of them. Field names of `RecentAction` are stored in the lease record.
 */

/** One action, or the newest one of a node on a target. */
export interface RecentAction {
  readonly target: string;
  /** Node that acted. */
  readonly node: string;
  /** When it had begun at the latest, on the store's clock, milliseconds. */
  readonly begunByMs: number;
}

/** Stands for every target. */
export const ANY_TARGET = '*';

/**
 * Actions that are stored one by one; beyond, those of a node are merged into one on every target. Chosen,
 * not measured: one for each replica of a large site, in a record of some tens of kilobytes.
 */
const MAX_ACTIONS = 500;

/** Whether none of the actions is one of another machine on `target`. */
export function isUnguarded(recent: readonly RecentAction[], target: string, node: string): boolean {
  return !recent.some((action) => action.node !== node && [target, ANY_TARGET].includes(action.target));
}

/** The actions with `added`, each of which replaces the node's earlier action on the same target. */
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
