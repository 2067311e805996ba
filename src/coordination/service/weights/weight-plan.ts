/**
 * Assigns replicas to models, since a replica cannot keep up with the versions of several models, and each
 * load takes capacity from running requests. Only assigned replicas load the newest version of a model;
 * unneeded replicas keep their version. The plan depends only on loaded versions and demand, and a replica
 * stays with the model that it is least behind on, so a new leader continues the plan of its predecessor.
 */

export interface PlannedReplica {
  readonly id: string;
  versionOf(model: string): number;
}

/** A model with its newest version, and its demand in any unit common to all models. */
export interface PlannedModel {
  readonly model: string;
  readonly version: number;
  readonly demand: number;
  /** Default: all replicas. */
  readonly maxReplicas?: number;
}

interface Candidate<R extends PlannedReplica> {
  readonly replica: R;
  readonly model: string;
  readonly lag: number;
}

/** Replicas of each model if there are enough, so that one can load or fail while another serves. */
const MIN_REDUNDANT_REPLICAS = 2;
/** Spare capacity over a model's largest job, for the loss of a zone, loads, and slow or failed replicas. */
const SPARE_FACTOR = 1.5;
const SPARE_REPLICAS = 2;

/**
 * Maximum number of replicas that a model can use, given the requests of its largest recent job; infinite if
 * `requests` is 0 (unknown).
 */
export function maxUsefulReplicas(requests: number, slots: number): number {
  if (requests === 0) return Number.POSITIVE_INFINITY;
  return Math.ceil((requests / Math.max(1, slots)) * SPARE_FACTOR) + SPARE_REPLICAS;
}

/** Returns the replicas of each model. Every model gets at least one if there are any replicas. */
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

/**
 * Number of replicas per model: an equal base share, and the rest by demand per replica up to `maxReplicas`.
 */
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

function demandPerReplica({ model, demand }: PlannedModel, shares: ReadonlyMap<string, number>): number {
  return demand / (shares.get(model) ?? 1);
}

/** All pairs of replica and model, least lag first. The order of ties is the same on every node. */
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
