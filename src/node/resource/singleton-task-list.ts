/**
 * The singleton tasks that the configuration requires: one for each shard, each slice, and the machine list.
 */
import type { MachineWatch } from '../../coordination/resource/membership/index.js';
import { RolloutOwner, type RolloutOwnerParts } from '../../coordination/resource/rollouts/index.js';
import type { SingletonTask } from '../../coordination/resource/singleton-tasks/index.js';
import { WeightRollout, type WeightRolloutParts } from '../../coordination/resource/weights/index.js';
import type { ConfigView } from '../../state/resource/configuration/index.js';

/** Dependencies of the tasks. */
export interface SingletonTaskParts {
  readonly view: ConfigView;
  readonly rollouts: RolloutOwnerParts;
  readonly weights: WeightRolloutParts;
  /** Absent when the settings name no machine list. */
  readonly machineWatch: MachineWatch | undefined;
}

/** Lists the tasks; their names are those of their leases. */
export function listSingletonTasks(parts: SingletonTaskParts): SingletonTask[] {
  const trainers = parts.view.list('Trainer').flatMap((trainer) => {
    const { name } = trainer.metadata;
    return shards(trainer.spec.shards ?? 1).map((shard) => rolloutTask(parts, name, shard));
  });
  const models = parts.view.list('Model').flatMap((model) => {
    const { name } = model.metadata;
    return shards(model.spec.slices ?? 1).map((slice) => weightTask(parts, name, slice));
  });
  return [...trainers, ...models, ...machineTasks(parts)];
}

function shards(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}

function rolloutTask(parts: SingletonTaskParts, trainer: string, shard: number): SingletonTask {
  return {
    name: `rollouts/${trainer}/${shard}`,
    createTask: (lease, signals) => new RolloutOwner(parts.rollouts, trainer, shard, lease, signals),
  };
}

function weightTask(parts: SingletonTaskParts, model: string, slice: number): SingletonTask {
  return {
    name: `weights/${model}/${slice}`,
    createTask: (lease, { stop, lost }) =>
      new WeightRollout(parts.weights, model, slice, lease, AbortSignal.any([stop, lost])),
  };
}

function machineTasks(parts: SingletonTaskParts): SingletonTask[] {
  const { machineWatch } = parts;
  if (!machineWatch) return [];
  const createTask: SingletonTask['createTask'] = (_lease, { stop, lost }) => ({
    run: () => machineWatch.run(AbortSignal.any([stop, lost])),
    isIdle: () => true,
  });
  return [{ name: 'machine-watch', createTask }];
}
