/**
 * Which replicas follow which model. Replicas that serve several models cannot load every version of all of them in time,
 * and each load takes room from running requests. So each model gets an even share of the replicas, and only these are
 * brought to its newest version. The plan follows from the versions alone: a replica stays with the model that it is
 * least behind of, so a new giver of orders continues the plan of the one before.
 */

/** A replica as the plan sees it. */
export interface PlannedReplica {
  readonly id: string;
  versionOf(model: string): number;
}

/** A model and its newest named version. */
export interface PlannedModel {
  readonly model: string;
  readonly version: number;
}

interface Pair<R extends PlannedReplica> {
  readonly replica: R;
  readonly model: string;
  readonly lag: number;
}

/** Replicas by model. Every model gets at least one replica, if there is any. */
export function planReplicas<R extends PlannedReplica>(
  replicas: readonly R[],
  models: readonly PlannedModel[],
): Map<string, R[]> {
  const plan = new Map<string, R[]>(models.map(({ model }) => [model, []]));
  if (replicas.length === 0 || models.length === 0) return plan;
  const share = Math.max(1, Math.floor(replicas.length / models.length));
  const modelsEach = Math.ceil((models.length * share) / replicas.length);
  assign(plan, pairsByLag(replicas, models), share, modelsEach);
  if (models.length <= replicas.length) assign(plan, pairsByLag(replicas, models), share + 1, modelsEach);
  return plan;
}

/** All pairs, those that are least behind first; ties in an order that every node agrees on. */
function pairsByLag<R extends PlannedReplica>(
  replicas: readonly R[],
  models: readonly PlannedModel[],
): Pair<R>[] {
  const pairs = models.flatMap(({ model, version }) =>
    replicas.map((replica) => ({ replica, model, lag: Math.max(0, version - replica.versionOf(model)) })),
  );
  return pairs.sort(
    (left, right) =>
      left.lag - right.lag || compare(left.replica.id, right.replica.id) || compare(left.model, right.model),
  );
}

function assign<R extends PlannedReplica>(
  plan: Map<string, R[]>,
  pairs: readonly Pair<R>[],
  share: number,
  modelsEach: number,
): void {
  const counts = new Map<string, number>();
  for (const assigned of plan.values())
    for (const { id } of assigned) counts.set(id, (counts.get(id) ?? 0) + 1);
  for (const { replica, model } of pairs) {
    const assigned = plan.get(model) as R[];
    const count = counts.get(replica.id) ?? 0;
    if (assigned.length >= share || count >= modelsEach || assigned.includes(replica)) continue;
    assigned.push(replica);
    counts.set(replica.id, count + 1);
  }
}

function compare(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
