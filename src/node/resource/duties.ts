/** The duties that the configuration asks for, each a lease that any node may hold. */

import type { MachineWatch } from '../../coordination/resource/membership/index.js';
import { RolloutOwner, type RolloutOwnerParts } from '../../coordination/resource/rollouts/index.js';
import type { Duty } from '../../coordination/resource/singleton-tasks/index.js';
import { WeightRollout, type WeightRolloutParts } from '../../coordination/resource/weights/index.js';
import type { ConfigView } from '../../state/resource/configuration/index.js';

/** What the tasks need. */
export interface DutyParts {
  readonly view: ConfigView;
  readonly rollouts: RolloutOwnerParts;
  readonly weights: WeightRolloutParts;
  /** Absent when the settings name no machine list. */
  readonly machineWatch: MachineWatch | undefined;
}

/** Lists the duties. */
export function listDuties(parts: DutyParts): Duty[] {
  const trainers = parts.view.list('Trainer').flatMap((trainer) => {
    const { name } = trainer.metadata;
    return shards(trainer.spec.shards ?? 1).map((shard) => rolloutDuty(parts, name, shard));
  });
  const models = parts.view.list('Model').flatMap((model) => {
    const { name } = model.metadata;
    return shards(model.spec.slices ?? 1).map((slice) => weightDuty(parts, name, slice));
  });
  return [...trainers, ...models, ...machineDuties(parts)];
}

function shards(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}

function rolloutDuty(parts: DutyParts, trainer: string, shard: number): Duty {
  return {
    name: `rollouts/${trainer}/${shard}`,
    createTask: (lease, signals) => new RolloutOwner(parts.rollouts, trainer, shard, lease, signals),
  };
}

function weightDuty(parts: DutyParts, model: string, slice: number): Duty {
  return {
    name: `weights/${model}/${slice}`,
    createTask: (lease, { stop, lost }) =>
      new WeightRollout(parts.weights, model, slice, lease, AbortSignal.any([stop, lost])),
  };
}

function machineDuties(parts: DutyParts): Duty[] {
  const { machineWatch } = parts;
  if (!machineWatch) return [];
  const createTask: Duty['createTask'] = (_lease, { stop, lost }) => ({
    run: () => machineWatch.run(AbortSignal.any([stop, lost])),
    isIdle: () => true,
  });
  return [{ name: 'machine-watch', createTask }];
}
