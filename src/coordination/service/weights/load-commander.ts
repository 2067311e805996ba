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
import { LoadExecution, type LoadExecutionServices, targetOf, type WantedLoad } from './load-execution.js';
import { type FollowedModel, prioritizeLoads } from './load-priority.js';
import { LoadTimes } from './load-timing.js';
import { type PlannedModel, planReplicas, usefulReplicas } from './weight-plan.js';

/**
 * Share of a service's replicas that load at once at most. Chosen, not measured: the others go on serving,
 * and more loads at a time share the bandwidth that brings the weights.
 */
const LOADING_FRACTION = 0.25;
/** Interval between passes over all services while the lease is held, milliseconds. Chosen, not measured. */
const PASS_INTERVAL_MS = 50;
/** Pause of one replica after a command that failed, milliseconds. Chosen, not measured. */
const RETRY_MS = 600;
/** Pause of all commands after the store has not confirmed the lease, milliseconds. Chosen, not measured. */
const CONFIRMATION_RETRY_MS = 150;

/** What commands are decided and executed with. */
export interface LoadCommanderServices extends LoadExecutionServices {
  readonly routing: RoutingTable;
  readonly versions: WeightVersions;
  /** Tokens that recent jobs of a model required. */
  readonly demandOf: (model: string) => number;
  /** Requests of the largest recent job of a model, 0 while none is known. */
  readonly requestsOf: (model: string) => number;
}

/** A load under way. */
interface OpenLoad {
  readonly model: string;
  /** When its command was decided, on the monotonic clock, milliseconds. */
  readonly sinceMs: number;
}

/** The commander of one node; it acts only while the lease is held. */
export class LoadCommander {
  /** Loads under way, by the incarnation of the replica that loads. */
  private readonly loading = new Map<ReplicaState, OpenLoad>();
  private readonly times = new LoadTimes();
  private readonly execution: LoadExecution;
  /** End of a replica's pause, on the monotonic clock, milliseconds. */
  private readonly notBeforeMs = new WeakMap<ReplicaState, number>();
  /** When the lease may be confirmed again, on the monotonic clock, milliseconds. */
  private confirmFromMs = 0;

  constructor(private readonly services: LoadCommanderServices) {
    this.execution = new LoadExecution(services, this.times);
  }

  /** Sends commands until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { lease } = this.services;
    while (!signal.aborted) {
      await lease.untilHeld(signal);
      if (lease.isHeld) this.pass(signal);
      await sleep(PASS_INTERVAL_MS, signal);
    }
  }

  private pass(signal: AbortSignal): void {
    const snapshot = this.services.routing.current;
    if (!snapshot || monotonicMs() < this.confirmFromMs) return;
    for (const { name, models } of snapshot.configuration.services)
      if (models.length > 0) this.passService(name, models, signal);
  }

  private passService(service: string, models: readonly string[], signal: AbortSignal): void {
    const { directory, versions } = this.services;
    const states = directory.availableOf(service);
    const slots = this.slotsOf(states);
    const maxLoading = Math.max(1, Math.ceil(states.length * LOADING_FRACTION));
    let loadingCount = states.filter((state) => this.isProbablyLoading(state)).length;
    const targets = models.map((model) => ({
      model,
      version: Math.max(1, versions.newestOf(model)),
      demand: this.services.demandOf(model),
      most: usefulReplicas(this.services.requestsOf(model), slots),
    }));
    for (const load of this.wantedLoads(states, targets)) {
      if (loadingCount >= maxLoading) return;
      loadingCount += 1;
      this.loading.set(load.state, { model: load.model, sinceMs: monotonicMs() });
      void this.load(load, signal).finally(() => this.loading.delete(load.state));
    }
  }

  /** Slots of one replica of the service. */
  private slotsOf([first]: readonly ReplicaState[]): number {
    return (first && this.services.routing.current?.slotsOf(first.replica)) ?? 1;
  }

  /** Loads to command, the most urgent first; at most one for each replica. */
  private wantedLoads(states: readonly ReplicaState[], targets: readonly PlannedModel[]): WantedLoad[] {
    const byId = new Map(states.map((state) => [state.replica.id, state]));
    const models = [...planReplicas(states, targets)].map(([model, planned]) =>
      this.toFollowedModel(model, planned),
    );
    const isFree = (id: string) => {
      const state = byId.get(id);
      return state !== undefined && this.isFree(state);
    };
    const wanted = new Map<string, WantedLoad>();
    for (const { id, model } of prioritizeLoads(models, isFree)) {
      const state = byId.get(id);
      if (!state || wanted.has(id)) continue;
      wanted.set(id, { state, model, version: this.services.versions.newestOf(model) });
    }
    return [...wanted.values()];
  }

  /** The replicas of a model, those furthest behind first, then those with the fewest requests. */
  private toFollowedModel(model: string, planned: readonly ReplicaState[]): FollowedModel {
    const replicas = [...planned]
      .sort((left, right) => left.versionOf(model) - right.versionOf(model) || left.inFlight - right.inFlight)
      .map((state) => ({
        id: state.replica.id,
        version: state.versionOf(model),
        isLoading: this.loading.get(state)?.model === model,
      }));
    return { model, newest: this.services.versions.newestOf(model), replicas };
  }

  /** The end of a load is seen late; the next load begins when a load usually ends. */
  private isProbablyLoading(state: ReplicaState): boolean {
    const sinceMs = this.loading.get(state)?.sinceMs;
    return sinceMs !== undefined && monotonicMs() - sinceMs < this.times.usualMs;
  }

  private isFree(state: ReplicaState): boolean {
    const isPaused = monotonicMs() < (this.notBeforeMs.get(state) ?? 0);
    return !this.loading.has(state) && !isPaused && this.services.lease.mayActOn(targetOf(state));
  }

  /** A lease that is not confirmed pauses all commands alike; everything else pauses its replica alone. */
  private async load(wanted: WantedLoad, signal: AbortSignal): Promise<void> {
    const end = await this.execution.execute(wanted, signal);
    if (end === 'unconfirmed') this.confirmFromMs = monotonicMs() + CONFIRMATION_RETRY_MS;
    if (end === 'retry-later') this.notBeforeMs.set(wanted.state, monotonicMs() + RETRY_MS);
  }
}
