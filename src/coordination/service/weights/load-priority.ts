/**
 * Order of loads when several models are behind. Jobs may use the newest version of their model or the one
 * before. Each load goes to the model with the smallest fraction of usable replicas, so that every model gets
 * a few replicas before one model gets many.
 */

/** A replica that is assigned to a model. */
export interface AssignedReplica {
  readonly id: string;
  /** Loaded version. */
  readonly version: number;
  /** Whether the newest version is being loaded. */
  readonly isLoading: boolean;
}

/** A model and its replicas in the order in which they should load. */
export interface ModelAssignment {
  readonly model: string;
  readonly newest: number;
  readonly replicas: readonly AssignedReplica[];
}

export interface NextLoad {
  readonly id: string;
  readonly model: string;
}

/** Weight of replicas without a usable version, relative to 1 for replicas that lack only the newest one. */
const UNUSABLE_WEIGHT = 2;

/** Counts for one model while loads are ordered. */
interface ModelProgress {
  readonly model: string;
  readonly newest: number;
  readonly total: number;
  readonly outdated: AssignedReplica[];
  /** Replicas that have the newest version or are about to load it. */
  current: number;
  /** Replicas that have a version usable by jobs or are about to load it. */
  usable: number;
}

/** Returns the missing loads, most urgent first. Replicas for which `isFree` is false are skipped. */
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

function urgencyOf({ total, current, usable }: ModelProgress): number {
  return (UNUSABLE_WEIGHT * (total - usable) + (total - current)) / total;
}
