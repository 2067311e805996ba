/**
 * In which order replicas load when several models are behind. Jobs may use the newest version of their model
 * and the one before, and a job lasts as long as its longest samples, which begin first. So a few replicas
 * for every model come before many for one: each load goes to the model of which the smallest share of
 * replicas can serve its jobs.
 */

/** A replica that should have the newest version of a model. */
export interface FollowingReplica {
  readonly id: string;
  /** Version that it has. */
  readonly version: number;
  /** Whether it loads the newest version now. */
  readonly isLoading: boolean;
}

/** A model with the replicas that follow it, those first that should load first. */
export interface FollowedModel {
  readonly model: string;
  readonly newest: number;
  readonly replicas: readonly FollowingReplica[];
}

/** One load to begin. */
export interface NextLoad {
  readonly id: string;
  readonly model: string;
}

/**
 * Weight of replicas that cannot serve a model's jobs, relative to 1 for
 * those that can, but not with its newest version. Chosen, not measured.
 */
const UNFIT_WEIGHT = 2;

/** One model while loads are assigned. */
interface ModelCount {
  readonly model: string;
  readonly newest: number;
  readonly total: number;
  readonly waiting: FollowingReplica[];
  /** Replicas that have, or will soon have, the newest version. */
  current: number;
  /** Replicas that have, or will soon have, a version that jobs may use. */
  fit: number;
}

/** Missing loads, the most urgent first. Replicas that `isFree` rejects are skipped. */
export function prioritizeLoads(
  models: readonly FollowedModel[],
  isFree: (id: string) => boolean,
): readonly NextLoad[] {
  const counts = models.map((followed) => countOf(followed, isFree));
  const loads: NextLoad[] = [];
  for (;;) {
    const [mostUrgent] = counts
      .filter(({ waiting }) => waiting.length > 0)
      .sort((left, right) => urgencyOf(right) - urgencyOf(left));
    const replica = mostUrgent?.waiting.shift();
    if (!mostUrgent || !replica) return loads;
    loads.push({ id: replica.id, model: mostUrgent.model });
    mostUrgent.current += 1;
    if (!isFit(replica, mostUrgent.newest)) mostUrgent.fit += 1;
  }
}

function countOf({ model, newest, replicas }: FollowedModel, isFree: (id: string) => boolean): ModelCount {
  const isCurrent = (replica: FollowingReplica) => replica.isLoading || replica.version >= newest;
  return {
    model,
    newest,
    total: replicas.length,
    waiting: replicas.filter((replica) => !isCurrent(replica) && isFree(replica.id)),
    current: replicas.filter(isCurrent).length,
    fit: replicas.filter((replica) => isCurrent(replica) || isFit(replica, newest)).length,
  };
}

function isFit({ version }: FollowingReplica, newest: number): boolean {
  return version >= newest - 1;
}

/** The larger, the more urgent is a load for the model. */
function urgencyOf({ total, current, fit }: ModelCount): number {
  return (UNFIT_WEIGHT * (total - fit) + (total - current)) / total;
}
