/**
 * Which replicas follow which model. Replicas cannot load every version of several models in time, and each
 * load takes capacity from running requests. So each model gets a share of the replicas, and only these are
 * brought to its newest version. The plan follows from versions and demand alone: a replica stays with the
 * model that it is least behind of, so a new leader continues the plan of the one before. Replicas that no
 * model's work needs follow none: they keep their version and get no commands.
 */

/** A replica as the plan sees it. */
export interface PlannedReplica {
  readonly id: string;
  versionOf(model: string): number;
}

/** A model, its newest named version, and its demand on the replicas, in any unit common to all models. */
export interface PlannedModel {
  readonly model: string;
  readonly version: number;
  readonly demand: number;
  /** Most replicas that its work can use. Default: all. */
  readonly maxReplicas?: number;
}

interface Candidate<R extends PlannedReplica> {
  readonly replica: R;
  readonly model: string;
  readonly lag: number;
}

/** Least replicas of a model, if there are enough: one can load or fail while another serves. */
const MIN_REDUNDANT_REPLICAS = 2;
/**
 * Replicas beyond those that the requests of a model's largest job fill: a factor and a number on top, since
 * a zone may be lost, and loads, slow replicas and failures take others away. Chosen, not measured.
 */
const SPARE_FACTOR = 1.5;
const SPARE_REPLICAS = 2;

/** Replicas that a model can use; infinite while `requests` of its largest recent job is 0 (unknown). */
export function maxUsefulReplicas(requests: number, slots: number): number {
  if (requests === 0) return Number.POSITIVE_INFINITY;
  return Math.ceil((requests / Math.max(1, slots)) * SPARE_FACTOR) + SPARE_REPLICAS;
}

/** Replicas by model. Every model gets at least one replica, if there is any. */
export function planReplicas<R extends PlannedReplica>(
  replicas: readonly R[],
  models: readonly PlannedModel[],
): Map<string, R[]> {
  const plan = new Map<string, R[]>(models.map(({ model }) => [model, []]));
  if (replicas.length === 0 || models.length === 0) return plan;
  const shares = shareReplicas(replicas.length, models);
  const total = [...shares.values()].reduce((sum, share) => sum + share, 0);
  assign(plan, candidatesByLag(replicas, models), shares, Math.ceil(total / replicas.length));
  return plan;
}

/** Replicas for each model: the same small number for all, the rest by demand per replica, up to `most`. */
export function shareReplicas(count: number, models: readonly PlannedModel[]): Map<string, number> {
  const baseShare = Math.max(1, Math.min(MIN_REDUNDANT_REPLICAS, Math.floor(count / models.length)));
  const shares = new Map(models.map(({ model }) => [model, baseShare]));
  for (let remaining = count - baseShare * models.length; remaining > 0; remaining -= 1) {
    const [next] = models
      .filter(({ model, maxReplicas }) => (shares.get(model) ?? 0) < (maxReplicas ?? count))
      .sort(
        (left, right) =>
          demandPerReplica(right, shares) - demandPerReplica(left, shares) ||
          compare(left.model, right.model),
      );
    if (!next) break;
    shares.set(next.model, (shares.get(next.model) ?? 0) + 1);
  }
  return shares;
}

/** Demand per replica that a model has so far. */
function demandPerReplica({ model, demand }: PlannedModel, shares: ReadonlyMap<string, number>): number {
  return demand / (shares.get(model) ?? 1);
}

/** All pairs, those least behind first; ties in an order that is the same on every node. */
function candidatesByLag<R extends PlannedReplica>(
  replicas: readonly R[],
  models: readonly PlannedModel[],
): Candidate<R>[] {
  const candidates = models.flatMap(({ model, version }) =>
    replicas.map((replica) => ({ replica, model, lag: Math.max(0, version - replica.versionOf(model)) })),
  );
  return candidates.sort(
    (left, right) =>
      left.lag - right.lag || compare(left.replica.id, right.replica.id) || compare(left.model, right.model),
  );
}

function assign<R extends PlannedReplica>(
  plan: Map<string, R[]>,
  candidates: readonly Candidate<R>[],
  shares: ReadonlyMap<string, number>,
  maxModelsPerReplica: number,
): void {
  const counts = new Map<string, number>();
  for (const assigned of plan.values())
    for (const { id } of assigned) counts.set(id, (counts.get(id) ?? 0) + 1);
  for (const { replica, model } of candidates) {
    const assigned = plan.get(model) as R[];
    const count = counts.get(replica.id) ?? 0;
    if (
      assigned.length >= (shares.get(model) ?? 0) ||
      count >= maxModelsPerReplica ||
      assigned.includes(replica)
    )
      continue;
    assigned.push(replica);
    counts.set(replica.id, count + 1);
  }
}

function compare(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
