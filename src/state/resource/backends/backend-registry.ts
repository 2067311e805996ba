/**
 * Back ends as this node sees them: declaration, last report, health, requests in flight. Nothing is shared
 * between nodes; each learns from its own polls and exchanges.
 *
 * Health: `unproven` until the first success; `serving`; `failing` after `FAILURES_UNTIL_FAILING` failures in
 * a row, ejected for `EJECTION_MS` after each failure, until the next success; `quarantined` while its shards
 * have different versions outside of a load, until a report says that they agree.
 */
import { monotonicMs } from '../../../common/clock.js';
import { Lifecycle, type LifecycleObserver } from '../../../common/lifecycle.js';
import type { EngineState } from '../../../protocol/resource/engine.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { ConfigView } from '../configuration/index.js';

/** Health of a back end. */
export type BackendHealth = 'unproven' | 'serving' | 'failing' | 'quarantined';
type BackendEvent = 'answered' | 'failed' | 'mixedVersions' | 'versionsAgree';

const TRANSITIONS = {
  unproven: { answered: 'serving', failed: 'failing', mixedVersions: 'quarantined' },
  serving: { failed: 'failing', mixedVersions: 'quarantined' },
  failing: { answered: 'serving', mixedVersions: 'quarantined' },
  quarantined: { versionsAgree: 'serving' },
} as const;

/** Failures in a row until a back end is `failing`. Chosen, not measured. */
const FAILURE_THRESHOLD = 2;
/** Age at which a load report has no weight, milliseconds. Chosen, not measured. */
const REPORT_MAX_AGE_MS = 5_000;
/** Ejection after a failure of a `failing` back end, milliseconds. Chosen, not measured. */
const EJECTION_MS = 1_000;

/** One back end. */
export class BackendEntry {
  readonly lifecycle: Lifecycle<BackendHealth, BackendEvent>;
  /** Requests that this node has in flight there. */
  inFlight = 0;
  private report: EngineState | undefined;
  private reportedAtMs = 0;
  private consecutiveFailures = 0;
  private failedAtMs = 0;

  constructor(
    public declaration: ResourceOf<'Backend'>,
    observer: LifecycleObserver,
  ) {
    const name = declaration.metadata.name;
    this.lifecycle = new Lifecycle<BackendHealth, BackendEvent>(
      'backend',
      name,
      'unproven',
      TRANSITIONS,
      observer,
    );
  }

  get name(): string {
    return this.declaration.metadata.name;
  }

  /** The last report of an engine. */
  get engineState(): EngineState | undefined {
    return this.report;
  }

  /** The one version that an engine reported, or `undefined` when it is unknown or mixed. */
  get version(): number | undefined {
    const versions = new Set(this.report?.shardVersions ?? []);
    return versions.size === 1 ? [...versions][0] : undefined;
  }

  /** Load in requests: own ones in flight, and the last report's by a weight that falls with its age. */
  get load(): number {
    if (!this.report) return this.inFlight;
    const weight = Math.max(0, 1 - (monotonicMs() - this.reportedAtMs) / REPORT_MAX_AGE_MS);
    return this.inFlight + weight * (this.report.running + this.report.queued);
  }

  /** Whether it is not to be used while another one is eligible. */
  get isEjected(): boolean {
    return this.lifecycle.current === 'failing' && monotonicMs() - this.failedAtMs < EJECTION_MS;
  }

  /** Records an engine's report; a report is a success as well. */
  recordReport(report: EngineState): void {
    this.report = report;
    this.reportedAtMs = monotonicMs();
    const mixed = new Set(report.shardVersions).size > 1;
    if (mixed && !report.swapping) {
      this.lifecycle.sendIfAccepted('mixedVersions', `shards at ${report.shardVersions.join(', ')}`);
    }
    if (!mixed) this.lifecycle.sendIfAccepted('versionsAgree');
    this.recordSuccess();
  }

  /** An exchange succeeded. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.lifecycle.sendIfAccepted('answered');
  }

  /** An exchange failed. */
  recordFailure(reason: string): void {
    this.consecutiveFailures += 1;
    this.failedAtMs = monotonicMs();
    if (this.consecutiveFailures >= FAILURE_THRESHOLD) this.lifecycle.sendIfAccepted('failed', reason);
  }
}

/** All back ends, kept in step with the configuration. */
export class BackendRegistry {
  private readonly entries = new Map<string, BackendEntry>();
  private readonly byService = new Map<string, BackendEntry[]>();

  constructor(
    view: ConfigView,
    private readonly observer: LifecycleObserver,
  ) {
    view.subscribe((events) => {
      if (events.some((event) => event.kind === 'Backend')) this.synchronize(view);
    });
    this.synchronize(view);
  }

  /** One back end. */
  get(name: string): BackendEntry | undefined {
    return this.entries.get(name);
  }

  /** The back ends of a service, by name. */
  ofService(service: string): readonly BackendEntry[] {
    return this.byService.get(service) ?? [];
  }

  /** All back ends. */
  all(): BackendEntry[] {
    return [...this.entries.values()];
  }

  private synchronize(view: ConfigView): void {
    const declared = view.list('Backend');
    const names = new Set(declared.map((one) => one.metadata.name));
    for (const name of this.entries.keys()) if (!names.has(name)) this.entries.delete(name);
    for (const declaration of declared) this.upsert(declaration);
    this.byService.clear();
    for (const declaration of declared) {
      const entry = this.entries.get(declaration.metadata.name) as BackendEntry;
      const group = this.byService.get(declaration.spec.service) ?? [];
      group.push(entry);
      this.byService.set(declaration.spec.service, group);
    }
  }

  private upsert(declaration: ResourceOf<'Backend'>): void {
    const existing = this.entries.get(declaration.metadata.name);
    // A new address is another process: the state of the old one does not apply.
    if (existing && existing.declaration.spec.address === declaration.spec.address)
      existing.declaration = declaration;
    else this.entries.set(declaration.metadata.name, new BackendEntry(declaration, this.observer));
  }
}
