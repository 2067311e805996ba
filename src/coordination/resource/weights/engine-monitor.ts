/**
 * Polls the state of the engines that this node uses, one task per engine, and reports each result to the back
 * end entry, which derives the engine's health. An engine in its target version and role is polled less often.
 */
import { sleep } from '../../../common/clock.js';
import type { EngineClient } from '../../../protocol/resource/engine.js';
import type { BackendEntry } from '../../../state/resource/backends/index.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { Router } from '../requests/index.js';
import { targetVersion } from './version-policy.js';
import { shouldDrain } from './weight-rollout.js';

/** Interval at which polling tasks are started and stopped to match the configuration. */
const SYNC_INTERVAL_MS = 200;
/** Multiple of the poll interval that applies to a settled engine. */
const SETTLED_INTERVAL_FACTOR = 8;

export class EngineMonitor {
  private readonly tasks = new Map<BackendEntry, AbortController>();

  /** `intervalMs`: poll interval of an engine that is not settled. */
  constructor(
    private readonly view: ConfigView,
    private readonly router: Router,
    private readonly engines: EngineClient,
    private readonly intervalMs: number,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.syncTasks(signal);
      await sleep(SYNC_INTERVAL_MS, signal);
    }
  }

  private syncTasks(signal: AbortSignal): void {
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
      void this.pollEngine(backend, AbortSignal.any([signal, stop.signal]));
    }
  }

  private async pollEngine(backend: BackendEntry, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const state = await this.engines.state(backend.declaration.spec.address);
      if (state.isOk()) backend.recordReport(state.value);
      else backend.recordFailure(state.error.message);
      await this.waitForNextPoll(backend, signal);
    }
  }

  /** Waits for the next poll; returns early if the engine is no longer settled. */
  private async waitForNextPoll(backend: BackendEntry, signal: AbortSignal): Promise<void> {
    for (let waited = 0; waited < SETTLED_INTERVAL_FACTOR; waited += 1) {
      await sleep(this.intervalMs, signal);
      if (signal.aborted || !this.isSettled(backend)) return;
    }
  }

  /** Whether the engine serves the target version of its model in its declared role. */
  private isSettled(backend: BackendEntry): boolean {
    const state = backend.engineState;
    if (!state || state.swapping || backend.lifecycle.current !== 'serving') return false;
    const wantedRole = shouldDrain(this.view, backend.declaration) ? 'draining' : 'serving';
    const model = this.view.get('Model', state.model);
    const target = model && targetVersion(this.view, model);
    return state.role === wantedRole && target !== undefined && backend.version === target.spec.version;
  }
}
