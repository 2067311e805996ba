/** The check of LOST for the items of a step, as RULES.md words it. */
import type { Deployment } from './deployment.js';
import type { BatchJob, Listed } from './trainer.js';
import { itemIdsOf } from './trainer.js';

const QUIET_MS = 5_000;
const NAMING_MS = 6_000;

export interface StepTimes {
  readonly endsAtMs: number;
  /** From here on there is no disruption, and there was none for `contactMs` before. */
  readonly steadyFromMs: number;
  readonly versionNamedAtMs: number;
}

/**
 * Items that no replica has finished or failed and that were at no replica in the last 5 s before the step ran
 * out of time, all of it steady state. None counts if a version was named then or in the 6 s before, if no
 * other item had begun, or if the replicas were half full or more.
 */
export function lostItems(
  { engines }: Deployment,
  job: BatchJob,
  listed: readonly Listed[],
  { endsAtMs, steadyFromMs, versionNamedAtMs }: StepTimes,
): string[] {
  const fromMs = endsAtMs - QUIET_MS;
  if (steadyFromMs > fromMs || versionNamedAtMs > fromMs - NAMING_MS) return [];
  const runs = engines.flatMap((engine) => engine.runs);
  const slots = engines.filter(({ isUp }) => isUp).reduce((sum, { options }) => sum + options.slots, 0);
  const runningAt = (atMs: number) => runs.filter((run) => run.fromMs <= atMs && run.untilMs > atMs).length;
  const times = [fromMs, ...runs.map((run) => run.fromMs).filter((at) => at > fromMs && at < endsAtMs)];
  if (Math.max(...times.map(runningAt)) >= slots / 2) return [];
  const ids = itemIdsOf(job);
  const begun = new Set(runs.map(({ id }) => id));
  const dead = new Set(listed.filter(({ state }) => state === 'dead').map(({ id }) => id));
  return ids.filter((id) => {
    const own = runs.filter((run) => run.id === id);
    const isFinished = own.some(({ end }) => end === 'whole' || end === 'failed') || dead.has(id);
    const wasAtReplica = own.some((run) => run.untilMs > fromMs && run.fromMs < endsAtMs);
    return !isFinished && !wasAtReplica && ids.some((other) => other !== id && begun.has(other));
  });
}
