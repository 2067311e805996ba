/**
 * Polls the state of the engines that this node uses, one task for each. A settled engine is polled rarely;
 * one that loads, fails, or has not its target version or role is polled often. Each result is recorded at
 * its back end: a report or a failure, from which health follows.
 */
import { sleep } from '../../../common/clock.js';
import type { EngineClient } from '../../../protocol/resource/engine.js';
import type { BackendEntry } from '../../../state/resource/backends/index.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { Router } from '../requests/index.js';
import { targetVersion } from './version-policy.js';
import { shouldDrain } from './weight-rollout.js';

/** Interval in which the polled engines follow the configuration, milliseconds. Chosen, not measured. */
const TASK_REFRESH_MS = 200;
/** Factor of the interval for a settled engine (calls and bytes without and with it: docs/CAPACITY.md). */
const SETTLED_FACTOR = 8;

/** The monitor of one node. */
export class EngineMonitor {
  private readonly tasks = new Map<BackendEntry, AbortController>();

  /** `intervalMs`: poll interval of an engine that is not settled, milliseconds. */
  constructor(
    private readonly view: ConfigView,
    private readonly router: Router,
    private readonly engines: EngineClient,
    private readonly intervalMs: number,
  ) {}

  /** Runs a task for each engine until stopped. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.synchronize(signal);
      await sleep(TASK_REFRESH_MS, signal);
    }
  }

  private synchronize(signal: AbortSignal): void {
    const services = this.view.list('Service').filter((service) => service.spec.type === 'model');
    const wanted = new Set(services.flatMap((service) => this.router.subset(service.metadata.name)));
    for (const [backend, stop] of this.tasks) {
      if (wanted.has(backend)) continue;
      stop.abort();
      this.tasks.delete(backend);
    }
    for (const backend of wanted) {
      if (this.tasks.has(backend)) continue;
      const stop = new AbortController();
      this.tasks.set(backend, stop);
      void this.watch(backend, AbortSignal.any([signal, stop.signal]));
    }
  }

  private async watch(backend: BackendEntry, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const state = await this.engines.state(backend.declaration.spec.address);
      if (state.isOk()) backend.recordReport(state.value);
      else backend.recordFailure(state.error.message);
      await this.pause(backend, signal);
    }
  }

  /** Waits for the next poll; a change that unsettles the engine ends a long wait early. */
  private async pause(backend: BackendEntry, signal: AbortSignal): Promise<void> {
    for (let waited = 0; waited < SETTLED_FACTOR; waited += 1) {
      await sleep(this.intervalMs, signal);
      if (signal.aborted || !this.isSettled(backend)) return;
    }
  }

  /** Whether an engine serves its model's target version in its declared role. */
  private isSettled(backend: BackendEntry): boolean {
    const state = backend.engineState;
    if (!state || state.swapping || backend.lifecycle.current !== 'serving') return false;
    const wantedRole = shouldDrain(this.view, backend.declaration) ? 'draining' : 'serving';
    const model = this.view.get('Model', state.model);
    const target = model && targetVersion(this.view, model);
    return state.role === wantedRole && target !== undefined && backend.version === target.spec.version;
  }
}
