/** Acts of a duty's holders, such as orders to replicas, from which another holder must keep its distance. */

/** One act, or the newest one of a node on a target. */
export interface RecentAct {
  readonly target: string;
  /** Node that acts. */
  readonly node: string;
  /** When it has begun at the latest, on the store's clock, milliseconds. */
  readonly begunByMs: number;
}

/** Stands for every target. */
export const ANY_TARGET = '*';

/** Acts that are remembered one by one; when there are more, those of a node count as one on every target. */
const MAX_ACTS = 500;

/** Whether none of the acts is one of another machine on `target`. */
export function allowsAct(recent: readonly RecentAct[], target: string, node: string): boolean {
  return !recent.some((act) => act.node !== node && (act.target === target || act.target === ANY_TARGET));
}

/** The acts with `added`, each of which takes the place of the node's earlier act on the same target. */
export function addActs(recent: readonly RecentAct[], added: readonly RecentAct[]): readonly RecentAct[] {
  const isReplaced = (act: RecentAct) =>
    added.some(({ node, target }) => node === act.node && target === act.target);
  const all = [...recent.filter((act) => !isReplaced(act)), ...added];
  return all.length <= MAX_ACTS ? all : mergeByNode(all);
}

function mergeByNode(acts: readonly RecentAct[]): RecentAct[] {
  const latest = new Map<string, number>();
  for (const { node, begunByMs } of acts)
    latest.set(node, Math.max(begunByMs, latest.get(node) ?? Number.NEGATIVE_INFINITY));
  return [...latest].map(([node, begunByMs]) => ({ target: ANY_TARGET, node, begunByMs }));
}
