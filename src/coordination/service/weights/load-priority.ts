/**
 * In which order replicas load when several models are behind. Jobs may use the newest version of their model
 * and the one before, and a job lasts as long as its longest samples, which begin first. So a few replicas
 * for every model come before many for one: each load goes to the model of which the smallest share of
 * replicas can serve its jobs.
 */

/** A replica that should have the newest version of a model. */
export interface AssignedReplica {
  readonly id: string;
  /** Version that it has. */
  readonly version: number;
  /** Whether it loads the newest version now. */
  readonly isLoading: boolean;
}

/** A model with the replicas that follow it, those first that should load first. */
export interface ModelAssignment {
  readonly model: string;
  readonly newest: number;
  readonly replicas: readonly AssignedReplica[];
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
const UNUSABLE_WEIGHT = 2;

/** One model while loads are assigned. */
interface ModelProgress {
  readonly model: string;
  readonly newest: number;
  readonly total: number;
  readonly outdated: AssignedReplica[];
  /** Replicas that have, or will soon have, the newest version. */
  current: number;
  /** Replicas that have, or will soon have, a version that jobs may use. */
  usable: number;
}

/** Missing loads, the most urgent first. Replicas that `isFree` rejects are skipped. */
export function prioritizeLoads(
  models: readonly ModelAssignment[],
  isFree: (id: string) => boolean,
): readonly NextLoad[] {
  const progress = models.map((assignment) => progressOf(assignment, isFree));
  const loads: NextLoad[] = [];
  for (;;) {
    const [mostUrgent] = progress
      .filter(({ outdated }) => outdated.length > 0)
      .sort((left, right) => urgencyOf(right) - urgencyOf(left));
    const replica = mostUrgent?.outdated.shift();
    if (!mostUrgent || !replica) return loads;
    loads.push({ id: replica.id, model: mostUrgent.model });
    mostUrgent.current += 1;
    if (!isUsable(replica, mostUrgent.newest)) mostUrgent.usable += 1;
  }
}

function progressOf(
  { model, newest, replicas }: ModelAssignment,
  isFree: (id: string) => boolean,
): ModelProgress {
  const isCurrent = (replica: AssignedReplica) => replica.isLoading || replica.version >= newest;
  return {
    model,
    newest,
    total: replicas.length,
    outdated: replicas.filter((replica) => !isCurrent(replica) && isFree(replica.id)),
    current: replicas.filter(isCurrent).length,
    usable: replicas.filter((replica) => isCurrent(replica) || isUsable(replica, newest)).length,
  };
}

function isUsable({ version }: AssignedReplica, newest: number): boolean {
  return version >= newest - 1;
}

/** The larger, the more urgent is a load for the model. */
function urgencyOf({ total, current, usable }: ModelProgress): number {
  return (UNUSABLE_WEIGHT * (total - usable) + (total - current)) / total;
}
