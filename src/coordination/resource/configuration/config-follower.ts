/**
 * Loads the configuration from the store and follows its changes by long polling. Each store response renews
 * the `FreshnessLease` from the start of the call. If the lease expires during a process pause or a partition,
 * the configuration stays in force, but `WorkGate` rejects new work.
 */
import { sleep } from '../../../common/clock.js';
import { startStopwatch } from '../../../common/elapsed-time.js';
import type { LifecycleObserver } from '../../../common/lifecycle.js';
import type { RecordStore } from '../../../protocol/record-store.js';
import type { ConfigStore, ConfigView, FreshnessLease } from '../../../state/resource/configuration/index.js';
import { CONFIGURATION_TABLE } from '../../../state/resource/tables/index.js';

const RETRY_DELAY_MS = 100;

export class ConfigFollower {
  private hasLoaded = false;
  private position = 0;

  /** `holdMs`: maximum duration of a long poll. */
  constructor(
    private readonly store: RecordStore,
    private readonly configuration: ConfigStore,
    private readonly view: ConfigView,
    private readonly lease: FreshnessLease,
    private readonly holdMs: number,
    observer: LifecycleObserver,
  ) {
    view.subscribe((_events, revision) => observer.metrics.configRevision.set(revision));
  }

  get isLoaded(): boolean {
    return this.hasLoaded;
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isCurrent = this.hasLoaded ? await this.awaitChange(signal) : await this.load();
      if (!isCurrent) await sleep(RETRY_DELAY_MS, signal);
    }
  }

  /** Applies all revisions up to the head of the store; returns whether the configuration is current. */
  async catchUp(): Promise<boolean> {
    const elapsed = startStopwatch();
    const head = await this.configuration.head();
    if (head.isErr()) return false;
    if (!this.hasLoaded && !(await this.loadSnapshot())) return false;
    while (this.view.revision < head.value) {
      const entries = await this.configuration.entries(this.view.revision, head.value);
      if (entries.isErr()) return false;
      const hasAdvanced = entries.value.filter((entry) => this.view.apply(entry)).length > 0;
      // A concurrent read may have applied the same entries.
      if (!hasAdvanced && this.view.revision < head.value) return false;
    }
    this.hasLoaded = true;
    this.lease.confirm(elapsed);
    return true;
  }

  /** Reads the position of the change feed first, so that no later change is missed. */
  private async load(): Promise<boolean> {
    const page = await this.store.scan({ table: CONFIGURATION_TABLE, partition: '', limit: 1 });
    if (page.isErr()) return false;
    this.position = page.value.version;
    return this.catchUp();
  }

  private async awaitChange(signal: AbortSignal): Promise<boolean> {
    const elapsed = startStopwatch();
    const answer = await this.store.changes(CONFIGURATION_TABLE, this.position, this.holdMs, signal);
    if (answer.isErr()) return answer.error.failure === 'history-lost' ? this.load() : false;
    if (answer.value.changes.length > 0 && !(await this.catchUp())) return false;
    this.position = answer.value.version;
    this.lease.confirm(elapsed);
    return true;
  }

  private async loadSnapshot(): Promise<boolean> {
    const snapshot = await this.configuration.snapshot();
    if (snapshot.isErr()) return false;
    this.view.loadSnapshot(snapshot.value.revision, snapshot.value.resources);
    return true;
  }
}
