/** Watches the engines that this node uses: one task for each, asking for its state. */
import { sleep } from '../common/clock.js';
import type { EngineClient } from '../protocol/engine.js';
import type { BackendEntry } from '../state/backend-registry.js';
import type { ConfigView } from '../state/config-view.js';
import type { Router } from './router.js';

const TASK_REFRESH_MS = 200;

/** The watching of one node. */
export class EngineMonitor {
  private readonly tasks = new Map<BackendEntry, AbortController>();

  /** `intervalMs`: time between two questions to one engine, milliseconds. */
  constructor(
    private readonly view: ConfigView,
    private readonly router: Router,
    private readonly engines: EngineClient,
    private readonly intervalMs: number,
  ) {}

  /** Keeps a task for each engine until stopped. */
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
      if (state.isOk()) backend.noteReport(state.value);
      else backend.noteFailure(state.error.message);
      await sleep(this.intervalMs, signal);
    }
  }
}
