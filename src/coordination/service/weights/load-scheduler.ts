/**
 * Schedules loads of the newest weight versions on model replicas. Only the leader of this singleton task
 * sends commands, fenced by the epoch of its lease; while the store does not confirm the lease, none is sent.
 * Only a fraction of the replicas of a service loads at a time, so that the others continue to serve.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { RoutingTable } from '../../../state/service/configuration/index.js';
import type { ReplicaState, WeightVersions } from '../../../state/service/replicas/index.js';
import { addressOf, LoadExecution, type LoadExecutionServices, type LoadTask } from './load-execution.js';
import { type ModelAssignment, prioritizeLoads } from './load-priority.js';
import { LoadDurations } from './load-timing.js';
import { maxUsefulReplicas, type PlannedModel, planReplicas } from './weight-plan.js';

/**
 * Maximum fraction of a service's replicas that load at a time. Concurrent loads also share network
 * bandwidth.
 */
const LOADING_FRACTION = 0.25;
const PASS_INTERVAL_MS = 50;
/** Delay before another command to a replica after a failed one. */
const RETRY_DELAY_MS = 600;
/** Delay before any command after the store did not confirm the lease. */
const CONFIRMATION_RETRY_DELAY_MS = 150;

export interface LoadSchedulerServices extends LoadExecutionServices {
  readonly routing: RoutingTable;
  readonly versions: WeightVersions;
  /** Tokens required by recent jobs of a model. */
  readonly demandOf: (model: string) => number;
  /** Requests of the largest recent job of a model; 0 if unknown. */
  readonly requestsOf: (model: string) => number;
}

interface ActiveLoad {
  readonly model: string;
  /** On the monotonic clock. */
  readonly startedAtMs: number;
}

export class LoadScheduler {
  private readonly activeLoads = new Map<ReplicaState, ActiveLoad>();
  private readonly durations = new LoadDurations();
  private readonly execution: LoadExecution;
  /** On the monotonic clock. */
  private readonly pausedUntilMs = new WeakMap<ReplicaState, number>();
  /** On the monotonic clock. */
  private confirmationPausedUntilMs = 0;

  constructor(private readonly services: LoadSchedulerServices) {
    this.execution = new LoadExecution(services, this.durations);
  }

  /** Runs until `signal` is aborted; sends commands only while the lease is held. */
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

  /** Slots of the first replica, used for all replicas of the service. */
  private slotsOf([first]: readonly ReplicaState[]): number {
    return (first && this.services.routing.current?.slotsOf(first.replica)) ?? 1;
  }

  /** Loads to start, most urgent first, at most one per replica. */
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

  /** Orders the replicas of a model by lag, then by fewest running requests. */
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

  /**
   * Whether a load is probably still running, by the duration of earlier loads. The end of a load is detected
   * with a delay, and the next load need not wait for that.
   */
  private isLikelyLoading(state: ReplicaState): boolean {
    const startedAtMs = this.activeLoads.get(state)?.startedAtMs;
    return startedAtMs !== undefined && monotonicMs() - startedAtMs < this.durations.uncontendedMs;
  }

  private isFree(state: ReplicaState): boolean {
    const isPaused = monotonicMs() < (this.pausedUntilMs.get(state) ?? 0);
    return !this.activeLoads.has(state) && !isPaused && this.services.lease.allowsAction(addressOf(state));
  }

  /** A failed confirmation delays all commands; any other failure delays only those to the same replica. */
  private async load(task: LoadTask, signal: AbortSignal): Promise<void> {
    const result = await this.execution.execute(task, signal);
    if (result === 'unconfirmed')
      this.confirmationPausedUntilMs = monotonicMs() + CONFIRMATION_RETRY_DELAY_MS;
    if (result === 'retry-later') this.pausedUntilMs.set(task.state, monotonicMs() + RETRY_DELAY_MS);
  }
}
