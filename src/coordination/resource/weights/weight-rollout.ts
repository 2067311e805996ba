/**
 * Loads the target weight version into the engines of one slice of a model, a limited share at a time, and sets
 * their roles (serving, draining). Commands carry the lease epoch as a fencing token, so that engines reject
 * commands of a previous owner. Failed loads are retried with exponential backoff.
 */
import { err, ok, type Result } from 'neverthrow';
import { sleep } from '../../../common/clock.js';
import { Lifecycle, type LifecycleObserver } from '../../../common/lifecycle.js';
import type { EngineClient, EngineCommand, EngineState } from '../../../protocol/resource/engine.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { BackendEntry, BackendRegistry } from '../../../state/resource/backends/index.js';
import { partitionOf } from '../../../state/resource/backends/index.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { DecisionLog } from '../../../state/resource/decision-log.js';
import type { HeldLease } from '../../../state/resource/leases/index.js';
import type { WorkGate } from '../requests/index.js';
import { isAllowedZone, isMachineLeaving } from '../requests/index.js';
import type { RunnableTask } from '../singleton-tasks/index.js';
import { targetVersion } from './version-policy.js';

type SwapState = 'current' | 'loading' | 'failed';
type SwapEvent = 'ordered' | 'loaded' | 'loadFailed';
const SWAP_TRANSITIONS = {
  current: { ordered: 'loading' },
  loading: { loaded: 'current', loadFailed: 'failed' },
  failed: { ordered: 'loading' },
} as const;

const RECONCILE_INTERVAL_MS = 200;
/** Share of the engines of a slice that load concurrently if the model declares none: one of three. */
const DEFAULT_MAX_UNAVAILABLE = 0.34;
/** Initial delay after a failed load of an engine, doubled up to the maximum. */
const FIRST_RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 8_000;

export interface WeightRolloutParts {
  readonly view: ConfigView;
  readonly registry: BackendRegistry;
  readonly engines: EngineClient;
  readonly gate: WorkGate;
  readonly decisions: DecisionLog;
  readonly observer: LifecycleObserver;
}

/** Whether an engine is declared as draining or its machine is leaving. */
export function shouldDrain(view: ConfigView, backend: ResourceOf<'Backend'>): boolean {
  return backend.spec.draining === true || isMachineLeaving(view, backend.spec.machine);
}

/** Whether an engine may serve a model; one without a declared model serves any model of its service. */
export function isAssigned(backend: BackendEntry, model: string): boolean {
  return (backend.declaration.spec.model ?? model) === model;
}

export class WeightRollout implements RunnableTask {
  private readonly swaps = new Map<string, Lifecycle<SwapState, SwapEvent>>();
  private readonly failures = new Map<string, number>();
  private readonly inProgress = new Set<string>();

  constructor(
    private readonly parts: WeightRolloutParts,
    private readonly modelName: string,
    private readonly slice: number,
    private readonly lease: HeldLease,
    private readonly signal: AbortSignal,
  ) {}

  isIdle(): boolean {
    return this.inProgress.size === 0;
  }

  /** Runs until the signal aborts or the model is deleted. */
  async run(): Promise<void> {
    const { signal } = this;
    while (!signal.aborted) {
      const model = this.parts.view.get('Model', this.modelName);
      if (!model) return;
      if (this.parts.gate.check().isOk()) this.startCommands(model, signal);
      await sleep(RECONCILE_INTERVAL_MS, signal);
    }
  }

  /** Engines of the slice to which the model may be loaded. */
  private engines(model: ResourceOf<'Model'>): BackendEntry[] {
    const slices = model.spec.slices ?? 1;
    const service = this.parts.view.get('Service', model.spec.service);
    return this.parts.registry
      .ofService(model.spec.service)
      .filter((backend) => partitionOf(backend.name, slices) === this.slice)
      .filter((backend) => isAssigned(backend, this.modelName))
      .filter((backend) => isAllowedZone(backend.declaration.spec.zone, model.spec.residency))
      .filter((backend) => isAllowedZone(backend.declaration.spec.zone, service?.spec.residency));
  }

  private startCommands(model: ResourceOf<'Model'>, signal: AbortSignal): void {
    const engines = this.engines(model);
    for (const backend of engines)
      if (!this.inProgress.has(backend.name)) this.startRoleCommand(backend, signal);
    const target = targetVersion(this.parts.view, model);
    if (!target) return;
    const loadable = engines.filter(
      (backend) => !this.inProgress.has(backend.name) && needsLoad(backend, model, target),
    );
    const free = Math.max(0, maxLoading(model, engines.length) - this.inProgress.size);
    for (const backend of loadable.slice(0, free)) {
      this.runExclusively(backend, () => this.load(backend, target, signal));
    }
  }

  private startRoleCommand(backend: BackendEntry, signal: AbortSignal): void {
    const state = backend.engineState;
    const role = shouldDrain(this.parts.view, backend.declaration) ? 'draining' : 'serving';
    if (!state || state.role === role || signal.aborted) return;
    this.runExclusively(backend, async () => {
      const ordered = await this.command(backend, { fence: this.lease.epoch, order: 'role', role });
      if (ordered.isErr()) return;
      this.parts.decisions.record({
        kind: 'drain',
        subjects: [`backend/${backend.name}`],
        choice: role,
        reason:
          backend.declaration.spec.drainReason ?? (role === 'draining' ? 'declared' : 'no longer declared'),
        inputs: { note: `fence ${this.lease.epoch}` },
      });
    });
  }

  private runExclusively(backend: BackendEntry, task: () => Promise<void>): void {
    this.inProgress.add(backend.name);
    void task().finally(() => this.inProgress.delete(backend.name));
  }

  private async load(
    backend: BackendEntry,
    target: ResourceOf<'ModelVersion'>,
    signal: AbortSignal,
  ): Promise<void> {
    const { model, version, weights } = target.spec;
    const swap = this.swap(backend.name);
    swap.sendIfAccepted('ordered', `version ${version}`);
    const command: EngineCommand = {
      fence: this.lease.epoch,
      order: 'load',
      model,
      version,
      object: weights.object,
    };
    const loaded = await this.command(backend, command);
    const isLoaded = loaded.isOk() && loaded.value.shardVersions.every((one) => one === version);
    this.recordLoad(backend, target, isLoaded, loaded.isErr() ? loaded.error : describeShards(loaded.value));
    if (isLoaded) {
      this.failures.delete(backend.name);
      swap.sendIfAccepted('loaded');
      return;
    }
    swap.sendIfAccepted('loadFailed', loaded.isErr() ? loaded.error : describeShards(loaded.value));
    const failures = (this.failures.get(backend.name) ?? 0) + 1;
    this.failures.set(backend.name, failures);
    await sleep(Math.min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2 ** (failures - 1)), signal);
  }

  /** Sends a command and records the response as the latest report of the engine. */
  private async command(backend: BackendEntry, command: EngineCommand): Promise<Result<EngineState, string>> {
    const answer = await this.parts.engines.order(backend.declaration.spec.address, command);
    if (answer.isErr()) return err(answer.error.message);
    backend.recordReport(answer.value);
    return ok(answer.value);
  }

  private recordLoad(
    backend: BackendEntry,
    target: ResourceOf<'ModelVersion'>,
    isLoaded: boolean,
    detail: string,
  ): void {
    const isMixed = backend.lifecycle.current === 'quarantined';
    this.parts.decisions.record({
      kind: isMixed ? 'quarantine' : 'weights',
      subjects: [`backend/${backend.name}`, `model/${this.modelName}`],
      choice: isLoaded ? `version ${target.spec.version} loaded` : 'retry',
      reason: isLoaded ? 'newest-allowed' : 'load-failed',
      inputs: { note: `fence ${this.lease.epoch}; ${detail}` },
    });
  }

  private swap(name: string): Lifecycle<SwapState, SwapEvent> {
    const known = this.swaps.get(name);
    if (known) return known;
    const created = new Lifecycle<SwapState, SwapEvent>(
      'swap',
      name,
      'current',
      SWAP_TRANSITIONS,
      this.parts.observer,
    );
    this.swaps.set(name, created);
    return created;
  }
}

/** Limit of concurrent commands above which no load is started. */
function maxLoading(model: ResourceOf<'Model'>, engineCount: number): number {
  const share = model.spec.maxUnavailableFraction ?? DEFAULT_MAX_UNAVAILABLE;
  return Math.max(1, Math.floor(engineCount * share));
}

/** Whether an engine has a different model or version and is not loading one. */
function needsLoad(
  backend: BackendEntry,
  model: ResourceOf<'Model'>,
  target: ResourceOf<'ModelVersion'>,
): boolean {
  const state = backend.engineState;
  if (!state || state.swapping) return false;
  return state.model !== model.metadata.name || backend.version !== target.spec.version;
}

function describeShards(state: EngineState): string {
  return `shards at ${[...new Set(state.shardVersions)].join(', ')}`;
}
