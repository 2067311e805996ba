/**
 * Stateless view of the available replicas of one service: capacity, load balancing and the wait for a slot.
 */
import { type RunningRequest, slotWaitMs } from '../../../state/service/admission/index.js';
import {
  capacityOf,
  chooseReplica,
  drainRate,
  type ReplicaChoice,
  type ReplicaChoiceInput,
  type ReplicaDirectory,
  type ReplicaState,
} from '../../../state/service/replicas/index.js';

/** The directory, and the limits and penalties of replicas by configuration and fleet. */
export interface ReplicaPolicy
  extends Required<Pick<ReplicaChoiceInput, 'slotsOf' | 'slowStartPerSecond' | 'zonePenalty'>> {
  readonly directory: ReplicaDirectory;
}

export class ServiceReplicas {
  constructor(
    private readonly service: string,
    private readonly policy: ReplicaPolicy,
  ) {}

  /** Free and total slots. */
  get capacity(): { free: number; all: number } {
    return capacityOf(this.available(), this.policy);
  }

  /** Service time that the replicas complete per millisecond with all slots in use. */
  get drainPerMs(): number {
    return drainRate(this.available(), this.policy);
  }

  eligible(excluded: ReadonlySet<string>): ReplicaState[] {
    const states = this.available();
    return excluded.size === 0 ? states : states.filter(({ id }) => !excluded.has(id));
  }

  /** Chooses a replica for a request of `serviceTimeMs` with `queuedAheadMs` of work ahead of it. */
  choose(excluded: ReadonlySet<string>, serviceTimeMs: number, queuedAheadMs: number): ReplicaChoice {
    const { slotsOf, zonePenalty, slowStartPerSecond } = this.policy;
    const input = { slotsOf, zonePenalty, slowStartPerSecond, serviceTimeMs, queuedAheadMs };
    return chooseReplica(this.eligible(excluded), input);
  }

  /** Lower bound of the time until a slot becomes free, milliseconds. */
  slotWaitMs(runningAt: (replicaId: string) => ReadonlySet<RunningRequest>, nowMs: number): number {
    const uses = this.available().map((state) => {
      const running = runningAt(state.id);
      return { slots: Math.max(1, this.policy.slotsOf(state)), running, runningCount: running.size };
    });
    return slotWaitMs(uses, nowMs);
  }

  private available(): ReplicaState[] {
    return this.policy.directory.availableOf(this.service);
  }
}
