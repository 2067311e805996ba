/**
 * The replicas of one service as its queue sees them: which are available, their capacity, and the choice
 * among them. Keeps no state of its own; what is known of a replica lies in its `ReplicaState`.
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

/** What the configuration and the fleet say of replicas. */
export interface ReplicaPolicy
  extends Required<Pick<ReplicaChoiceInput, 'slotsOf' | 'slowStartPerSecond' | 'zonePenalty'>> {
  readonly directory: ReplicaDirectory;
}

export class ServiceReplicas {
  constructor(
    private readonly service: string,
    private readonly policy: ReplicaPolicy,
  ) {}

  /** Free slots, and all slots. */
  get capacity(): { free: number; all: number } {
    return capacityOf(this.available(), this.policy);
  }

  /** Work that the replicas finish in a millisecond with all slots taken, milliseconds. */
  get drainPerMs(): number {
    return drainRate(this.available(), this.policy);
  }

  /** Available replicas without the excluded ones. */
  eligible(excluded: ReadonlySet<string>): ReplicaState[] {
    const states = this.available();
    return excluded.size === 0 ? states : states.filter(({ id }) => !excluded.has(id));
  }

  /** The replica for a request of `serviceTimeMs` behind work of `queuedAheadMs`. */
  choose(excluded: ReadonlySet<string>, serviceTimeMs: number, queuedAheadMs: number): ReplicaChoice {
    const { slotsOf, zonePenalty, slowStartPerSecond } = this.policy;
    const input = { slotsOf, zonePenalty, slowStartPerSecond, serviceTimeMs, queuedAheadMs };
    return chooseReplica(this.eligible(excluded), input);
  }

  /** Least expected time until a slot becomes free, milliseconds. */
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
