/**
 * Weight rollout: the owner of a slice of a model's engines loads the target version into them, a bounded
 * share at a time to keep serving capacity, and sets their roles (serving, draining). Commands carry the
 * lease's epoch as fence: an engine that has received one of a later owner rejects those of an earlier one.
 *
 * Owns: commands in progress, failures in a row per engine. Relies on: reports of `EngineMonitor`, the work
 * gate (no command under a configuration that is not confirmed). A load that fails is repeated with a growing
 * delay.
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
const SWAP_TABLE = {
  current: { ordered: 'loading' },
  loading: { loaded: 'current', loadFailed: 'failed' },
  failed: { ordered: 'loading' },
} as const;

/** Interval of rounds, milliseconds. Chosen, not measured. */
const ROUND_MS = 200;
/** Share of a slice's engines that load at a time when not declared. Chosen: one of three. */
const DEFAULT_MAX_UNAVAILABLE = 0.34;
/** Delay after a failed load of an engine, milliseconds, doubled up to the maximum. Chosen, not measured. */
const FIRST_RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 8_000;

/** Dependencies of an owner. */
export interface WeightRolloutParts {
  readonly view: ConfigView;
  readonly registry: BackendRegistry;
  readonly engines: EngineClient;
  readonly gate: WorkGate;
  readonly decisions: DecisionLog;
  readonly observer: LifecycleObserver;
}

/** Whether an engine is to refuse new requests: it is declared as draining, or its machine leaves. */
export function shouldDrain(view: ConfigView, backend: ResourceOf<'Backend'>): boolean {
  return backend.spec.draining === true || isMachineLeaving(view, backend.spec.machine);
}

/** Whether an engine is declared for a model; without a declaration it serves any model of its service. */
export function isAssigned(backend: BackendEntry, model: string): boolean {
  return (backend.declaration.spec.model ?? model) === model;
}

/** The owner of one slice of one model's engines. */
export class WeightRollout implements RunnableTask {
  private readonly swaps = new Map<string, Lifecycle<SwapState, SwapEvent>>();
  private readonly failures = new Map<string, number>();
  private readonly busy = new Set<string>();

  constructor(
    private readonly parts: WeightRolloutParts,
    private readonly modelName: string,
    private readonly slice: number,
    private readonly lease: HeldLease,
    private readonly signal: AbortSignal,
  ) {}

  /** Whether no command is in progress. */
  isIdle(): boolean {
    return this.busy.size === 0;
  }

  /** Runs until the lease is lost or the model is deleted. */
  async run(): Promise<void> {
    const { signal } = this;
    while (!signal.aborted) {
      const model = this.parts.view.get('Model', this.modelName);
      if (!model) return;
      if (this.parts.gate.check().isOk()) this.startCommands(model, signal);
      await sleep(ROUND_MS, signal);
    }
  }

  /** Engines of the slice that may load the model. */
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
    for (const backend of engines) if (!this.busy.has(backend.name)) this.startRoleCommand(backend, signal);
    const target = targetVersion(this.parts.view, model);
    if (!target) return;
    const loadable = engines.filter(
      (backend) => !this.busy.has(backend.name) && needsLoad(backend, model, target),
    );
    const free = Math.max(0, maxLoading(model, engines.length) - this.busy.size);
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
    this.busy.add(backend.name);
    void task().finally(() => this.busy.delete(backend.name));
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
    this.noteLoad(backend, target, isLoaded, loaded.isErr() ? loaded.error : describeShards(loaded.value));
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

  /** Sends a command and records the engine's response as its newest report. */
  private async command(backend: BackendEntry, command: EngineCommand): Promise<Result<EngineState, string>> {
    const answer = await this.parts.engines.order(backend.declaration.spec.address, command);
    if (answer.isErr()) return err(answer.error.message);
    backend.recordReport(answer.value);
    return ok(answer.value);
  }

  private noteLoad(
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
      SWAP_TABLE,
      this.parts.observer,
    );
    this.swaps.set(name, created);
    return created;
  }
}

/** Engines with a command in progress above which no further load is started. */
function maxLoading(model: ResourceOf<'Model'>, engineCount: number): number {
  const share = model.spec.maxUnavailableFraction ?? DEFAULT_MAX_UNAVAILABLE;
  return Math.max(1, Math.floor(engineCount * share));
}

/** Whether an engine has another model or version than the target, and is not loading one. */
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
