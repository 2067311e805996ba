/**
 * Follows the configuration in the store: loads it, then waits for changes by long polls. Each answer of the
 * store confirms the configuration from the start of the call (`FreshnessLease`), so that a process pause or
 * a partition makes it expire; it then stays in force, but `WorkGate` rejects new work.
 */
import { sleep } from '../../../common/clock.js';
import { startStopwatch } from '../../../common/elapsed-time.js';
import type { LifecycleObserver } from '../../../common/lifecycle.js';
import type { RecordStore } from '../../../protocol/record-store.js';
import type { ConfigStore, ConfigView, FreshnessLease } from '../../../state/resource/configuration/index.js';
import { CONFIGURATION_TABLE } from '../../../state/resource/tables/index.js';

/** Delay after a failed call, milliseconds. Chosen, not measured. */
const RETRY_DELAY_MS = 100;

/** The follower of one node. */
export class ConfigFollower {
  private hasLoaded = false;
  private position = 0;

  /** `holdMs`: longest duration of a long poll, milliseconds. */
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

  /** Whether this node has loaded the configuration since it started. */
  get isLoaded(): boolean {
    return this.hasLoaded;
  }

  /** Follows until stopped. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isCurrent = this.hasLoaded ? await this.awaitChange(signal) : await this.load();
      if (!isCurrent) await sleep(RETRY_DELAY_MS, signal);
    }
  }

  /** Catches up with the store now; true when the configuration is confirmed. */
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

  /** Takes the position of the change feed, then reads everything. */
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
