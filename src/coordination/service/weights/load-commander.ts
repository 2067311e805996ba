/**
 * Orders that bring model replicas to the newest named weight version. One node gives them, under a duty lease that the
 * store confirms before each order. Few replicas load at once, so that the others go on working.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type {
  CommandOutcome,
  LoadMode,
  ReplicaClient,
  ReplicaReport,
} from '../../../protocol/service/replica.js';
import type { RoutingTable } from '../../../state/service/configuration/index.js';
import type {
  ReplicaDirectory,
  ReplicaState,
  WeightVersions,
} from '../../../state/service/replicas/index.js';
import type { LeaderLease } from '../leadership/index.js';
import { type FollowedModel, prioritizeLoads } from './load-priority.js';
import { type PlannedModel, planReplicas, usefulReplicas } from './weight-plan.js';

/** Part of a service's replicas that load at once at most. */
const LOADING_FRACTION = 0.25;
const MODE: LoadMode = 'retain';
const CALL_TIMEOUT_MS = 800;
/** A load that is not seen to end within this time is looked at again, milliseconds. */
const LOAD_TIMEOUT_MS = 4_000;
/** Distance of the first questions to a loading replica while the usual time of a load is unknown, milliseconds. */
const REPORT_MS = 350;
/** Part of the usual time of a load after which the replica is first asked, and the distance of the next questions. */
const FIRST_REPORT_FRACTION = 0.9;
const NEXT_REPORT_MS = 60;
/** Loads whose times are remembered. */
const REMEMBERED_LOADS = 8;
const PASS_MS = 50;
/** Pause of one replica after an order that failed, milliseconds. */
const RETRY_MS = 600;
/** Pause of all orders after the store has not confirmed the lease, milliseconds. */
const CONFIRMATION_RETRY_MS = 150;

/** What the orders work with. */
export interface LoadCommanderServices {
  readonly routing: RoutingTable;
  readonly directory: ReplicaDirectory;
  readonly versions: WeightVersions;
  readonly client: ReplicaClient;
  readonly lease: LeaderLease;
  /** What the jobs of a model lately asked of the replicas, tokens. */
  readonly demandOf: (model: string) => number;
  /** Requests of the largest job that the model lately had, 0 while none is known. */
  readonly requestsOf: (model: string) => number;
  readonly nodeName: string;
  readonly metrics: ServiceMetrics;
  readonly logger: DecisionLogger;
}

/** A version that a replica should load. */
interface WantedLoad {
  readonly state: ReplicaState;
  readonly model: string;
  readonly version: number;
}

/** A load under way. */
interface OpenLoad {
  readonly model: string;
  /** When its order was decided on, on the monotonic clock. */
  readonly sinceMs: number;
}

/** The giver of orders of one node; it acts only while the lease is held. */
export class LoadCommander {
  /** Loads under way, by the life of the replica that loads. */
  private readonly loading = new Map<ReplicaState, OpenLoad>();
  /** Times of the newest loads, milliseconds. */
  private readonly loadTimes: number[] = [];
  private readonly notBeforeMs = new WeakMap<ReplicaState, number>();
  /** When the lease may be confirmed again. */
  private confirmFromMs = 0;

  constructor(private readonly services: LoadCommanderServices) {}

  /** Gives orders until `signal` is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { lease } = this.services;
    while (!signal.aborted) {
      await lease.untilHeld(signal);
      if (lease.isHeld) this.pass(signal);
      await sleep(PASS_MS, signal);
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

  /** Requests that a replica of the service runs at once. */
  private slotsOf([first]: readonly ReplicaState[]): number {
    return (first && this.services.routing.current?.slotsOf(first.replica)) ?? 1;
  }

  /** Loads that are missing, the most urgent first; one for each replica. */
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

  /** The replicas of a model, those first that are furthest behind, then those with the least work. */
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

  /** Time that a load takes when nothing holds it up, milliseconds; infinite while none was seen. */
  private get usualLoadMs(): number {
    return Math.min(...this.loadTimes, Number.POSITIVE_INFINITY);
  }

  /**
   * A load is known to be over only some time afterwards. The next one need not wait for that: it begins when a load is
   * usually over.
   */
  private isProbablyLoading(state: ReplicaState): boolean {
    const sinceMs = this.loading.get(state)?.sinceMs;
    return sinceMs !== undefined && monotonicMs() - sinceMs < this.usualLoadMs;
  }

  private noteLoad(tookMs: number): void {
    this.loadTimes.push(tookMs);
    if (this.loadTimes.length > REMEMBERED_LOADS) this.loadTimes.shift();
  }

  private isFree(state: ReplicaState): boolean {
    const isPaused = monotonicMs() < (this.notBeforeMs.get(state) ?? 0);
    return !this.loading.has(state) && !isPaused && this.services.lease.mayActOn(targetOf(state));
  }

  /** One order and the wait until the replica has carried it out. */
  private async load(wanted: WantedLoad, signal: AbortSignal): Promise<void> {
    const { state, model, version } = wanted;
    const { client, lease } = this.services;
    const confirmation = await lease.confirm(targetOf(state));
    if (!confirmation) return this.delayAll();
    const report = await client.report(state.replica, CALL_TIMEOUT_MS);
    if (report.isErr() || report.value.isBusy) return this.delay(state);
    if (!this.isOf(state, report.value)) return this.takeIncarnation(state, report.value);
    if ((report.value.modelVersions.get(model) ?? 0) >= version)
      return this.noteVersions(state, report.value.modelVersions);
    if (!confirmation.isFresh() || !this.services.directory.isAvailable(state)) return this.delay(state);
    const startedAt = monotonicMs();
    const order = {
      model,
      version,
      mode: MODE,
      holder: this.services.nodeName,
      fencingToken: confirmation.epoch,
      expectedCommandCount: report.value.commandCount,
    };
    const outcome = await client.load(state.replica, order, CALL_TIMEOUT_MS);
    const result = outcome.isOk() ? outcome.value : 'unanswered';
    this.report(state, model, version, confirmation.epoch, result, monotonicMs() - startedAt);
    if (result === 'accepted' || result === 'unanswered') await this.awaitLoad(state, model, version, signal);
    else if (result !== 'already-loaded') this.delay(state);
  }

  private async awaitLoad(
    state: ReplicaState,
    model: string,
    version: number,
    signal: AbortSignal,
  ): Promise<void> {
    const startedAt = monotonicMs();
    const deadline = startedAt + LOAD_TIMEOUT_MS;
    const usualMs = this.usualLoadMs;
    const isUsualKnown = Number.isFinite(usualMs);
    await sleep(isUsualKnown ? usualMs * FIRST_REPORT_FRACTION : REPORT_MS, signal);
    while (monotonicMs() < deadline && !signal.aborted) {
      if (!this.services.directory.isAvailable(state)) return;
      if (state.versionOf(model) >= version) return this.noteLoad(monotonicMs() - startedAt);
      const report = await this.services.client.report(state.replica, CALL_TIMEOUT_MS);
      if (report.isOk() && !this.isOf(state, report.value)) return this.takeIncarnation(state, report.value);
      if (report.isOk() && (report.value.modelVersions.get(model) ?? 0) >= version) {
        this.noteLoad(monotonicMs() - startedAt);
        return this.noteVersions(state, report.value.modelVersions);
      }
      const elapsedMs = monotonicMs() - startedAt;
      if (report.isOk() && !report.value.isBusy && elapsedMs > LOAD_TIMEOUT_MS / 2) return;
      await sleep(isUsualKnown && elapsedMs < usualMs * 2 ? NEXT_REPORT_MS : REPORT_MS, signal);
    }
  }

  /** Whether a report is of the life that is known; one that doesn't say is taken for it. */
  private isOf({ replica }: ReplicaState, { startedAtMs }: ReplicaReport): boolean {
    return startedAtMs === undefined || startedAtMs === replica.startedAtMs;
  }

  /** A report may tell of a later life before the announcement does; the word of an earlier one changes nothing. */
  private takeIncarnation(state: ReplicaState, { startedAtMs, modelVersions }: ReplicaReport): void {
    this.delay(state);
    if (this.services.directory.isAvailable(state))
      this.services.directory.set({ ...state.replica, startedAtMs, modelVersions });
  }

  /** A report may be newer than the announcement. */
  private noteVersions(state: ReplicaState, modelVersions: ReadonlyMap<string, number>): void {
    if (!this.services.directory.isAvailable(state)) return;
    this.services.directory.set({ ...state.replica, modelVersions });
  }

  /** Without the store no order can be given, so no replica is worse than another for it. */
  private delayAll(): void {
    this.confirmFromMs = monotonicMs() + CONFIRMATION_RETRY_MS;
  }

  private delay(state: ReplicaState): void {
    this.notBeforeMs.set(state, monotonicMs() + RETRY_MS);
  }

  private report(
    state: ReplicaState,
    model: string,
    version: number,
    fencingToken: number,
    outcome: CommandOutcome | 'unanswered',
    tookMs: number,
  ): void {
    this.services.metrics.loadCommands.inc({ outcome });
    this.services.logger.record({
      event: 'order-given',
      replica: state.replica.id,
      model,
      version,
      fencingToken,
      outcome,
      tookMs: Math.round(tookMs),
    });
  }
}

/** What orders of two givers are kept apart at: a replica that starts again is a new one, but at the same address. */
function targetOf({ replica }: ReplicaState): string {
  return replica.address;
}
