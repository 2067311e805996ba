/**
 * Commands model replicas to load the newest named weight version. One node, the leader of that task, sends
 * the commands; a command is fenced by the lease's epoch. Few replicas load at once, so that the others go on
 * serving.
 *
 * Owns: the loads under way and the pauses after failures. Relies on: the lease, the replicas' announcements,
 * the demand of the jobs that this node knows. Without the store no lease is confirmed and no command is
 * sent; no replica is paused for that.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { RoutingTable } from '../../../state/service/configuration/index.js';
import type { ReplicaState, WeightVersions } from '../../../state/service/replicas/index.js';
import { addressOf, LoadExecution, type LoadExecutionServices, type LoadTask } from './load-execution.js';
import { type ModelAssignment, prioritizeLoads } from './load-priority.js';
import { LoadDurations } from './load-timing.js';
import { maxUsefulReplicas, type PlannedModel, planReplicas } from './weight-plan.js';

/**
 * Share of a service's replicas that load at once at most. Chosen, not measured: the others go on serving,
 * and more loads at a time share the bandwidth that brings the weights.
 */
const LOADING_FRACTION = 0.25;
/** Interval between passes over all services while the lease is held, milliseconds. Chosen, not measured. */
const PASS_INTERVAL_MS = 50;
/** Pause of one replica after a command that failed, milliseconds. Chosen, not measured. */
const RETRY_DELAY_MS = 600;
/** Pause of all commands after the store has not confirmed the lease, milliseconds. Chosen, not measured. */
const CONFIRMATION_RETRY_DELAY_MS = 150;

/** What commands are decided and executed with. */
export interface LoadSchedulerServices extends LoadExecutionServices {
  readonly routing: RoutingTable;
  readonly versions: WeightVersions;
  /** Tokens that recent jobs of a model required. */
  readonly demandOf: (model: string) => number;
  /** Requests of the largest recent job of a model, 0 while none is known. */
  readonly requestsOf: (model: string) => number;
}

/** A load under way. */
interface ActiveLoad {
  readonly model: string;
  /** When its command was decided, on the monotonic clock, milliseconds. */
  readonly startedAtMs: number;
}

/** The commander of one node; it acts only while the lease is held. */
export class LoadScheduler {
  /** Loads under way, by the incarnation of the replica that loads. */
  private readonly activeLoads = new Map<ReplicaState, ActiveLoad>();
  private readonly durations = new LoadDurations();
  private readonly execution: LoadExecution;
  /** End of a replica's pause, on the monotonic clock, milliseconds. */
  private readonly pausedUntilMs = new WeakMap<ReplicaState, number>();
  /** When the lease may be confirmed again, on the monotonic clock, milliseconds. */
  private confirmationPausedUntilMs = 0;

  constructor(private readonly services: LoadSchedulerServices) {
    this.execution = new LoadExecution(services, this.durations);
  }

  /** Sends commands until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { lease } = this.services;
    while (!signal.aborted) {
      await lease.waitUntilHeld(signal);
      if (lease.isHeld) this.scheduleAll(signal);
      await sleep(PASS_INTERVAL_MS, signal);
    }
  }

  private scheduleAll(signal: AbortSignal): void {
    const snapshot = this.services.routing.current;
    if (!snapshot || monotonicMs() < this.confirmationPausedUntilMs) return;
    for (const { name, models } of snapshot.configuration.services)
      if (models.length > 0) this.scheduleService(name, models, signal);
  }

  private scheduleService(service: string, models: readonly string[], signal: AbortSignal): void {
    const { directory, versions } = this.services;
    const states = directory.availableOf(service);
    const slots = this.slotsOf(states);
    const maxLoading = Math.max(1, Math.ceil(states.length * LOADING_FRACTION));
    let loadingCount = states.filter((state) => this.isLikelyLoading(state)).length;
    const targets = models.map((model) => ({
      model,
      version: Math.max(1, versions.newestOf(model)),
      demand: this.services.demandOf(model),
      maxReplicas: maxUsefulReplicas(this.services.requestsOf(model), slots),
    }));
    for (const load of this.nextTasks(states, targets)) {
      if (loadingCount >= maxLoading) return;
      loadingCount += 1;
      this.activeLoads.set(load.state, { model: load.model, startedAtMs: monotonicMs() });
      void this.load(load, signal).finally(() => this.activeLoads.delete(load.state));
    }
  }

  /** Slots of one replica of the service. */
  private slotsOf([first]: readonly ReplicaState[]): number {
    return (first && this.services.routing.current?.slotsOf(first.replica)) ?? 1;
  }

  /** Loads to command, the most urgent first; at most one for each replica. */
  private nextTasks(states: readonly ReplicaState[], targets: readonly PlannedModel[]): LoadTask[] {
    const byId = new Map(states.map((state) => [state.replica.id, state]));
    const models = [...planReplicas(states, targets)].map(([model, planned]) =>
      this.toAssignment(model, planned),
    );
    const isFree = (id: string) => {
      const state = byId.get(id);
      return state !== undefined && this.isFree(state);
    };
    const tasksByReplica = new Map<string, LoadTask>();
    for (const { id, model } of prioritizeLoads(models, isFree)) {
      const state = byId.get(id);
      if (!state || tasksByReplica.has(id)) continue;
      tasksByReplica.set(id, { state, model, version: this.services.versions.newestOf(model) });
    }
    return [...tasksByReplica.values()];
  }

  /** The replicas of a model, those furthest behind first, then those with the fewest requests. */
  private toAssignment(model: string, planned: readonly ReplicaState[]): ModelAssignment {
    const replicas = [...planned]
      .sort((left, right) => left.versionOf(model) - right.versionOf(model) || left.inFlight - right.inFlight)
      .map((state) => ({
        id: state.replica.id,
        version: state.versionOf(model),
        isLoading: this.activeLoads.get(state)?.model === model,
      }));
    return { model, newest: this.services.versions.newestOf(model), replicas };
  }

  /** The end of a load is seen late; the next load begins when a load usually ends. */
  private isLikelyLoading(state: ReplicaState): boolean {
    const startedAtMs = this.activeLoads.get(state)?.startedAtMs;
    return startedAtMs !== undefined && monotonicMs() - startedAtMs < this.durations.uncontendedMs;
  }

  private isFree(state: ReplicaState): boolean {
    const isPaused = monotonicMs() < (this.pausedUntilMs.get(state) ?? 0);
    return !this.activeLoads.has(state) && !isPaused && this.services.lease.allowsAction(addressOf(state));
  }

  /** A lease that is not confirmed pauses all commands alike; everything else pauses its replica alone. */
  private async load(task: LoadTask, signal: AbortSignal): Promise<void> {
    const result = await this.execution.execute(task, signal);
    if (result === 'unconfirmed')
      this.confirmationPausedUntilMs = monotonicMs() + CONFIRMATION_RETRY_DELAY_MS;
    if (result === 'retry-later') this.pausedUntilMs.set(task.state, monotonicMs() + RETRY_DELAY_MS);
  }
}
