/**
 * State of the back ends as observed by this node: declaration, last report, health, requests in flight.
 * Nodes do not share it.
 *
 * Health: `unproven` until the first success; `failing` from `FAILURE_THRESHOLD` consecutive failures until
 * the next success, and ejected for `EJECTION_MS` after each failure; `quarantined` from a report of
 * different shard versions outside of a weight load until a report of a single version; otherwise `serving`.
 */
import { monotonicMs } from '../../../common/clock.js';
import { Lifecycle, type LifecycleObserver } from '../../../common/lifecycle.js';
import type { EngineState } from '../../../protocol/resource/engine.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { ConfigView } from '../configuration/index.js';

export type BackendHealth = 'unproven' | 'serving' | 'failing' | 'quarantined';
type BackendEvent = 'answered' | 'failed' | 'mixedVersions' | 'versionsAgree';

const TRANSITIONS = {
  unproven: { answered: 'serving', failed: 'failing', mixedVersions: 'quarantined' },
  serving: { failed: 'failing', mixedVersions: 'quarantined' },
  failing: { answered: 'serving', mixedVersions: 'quarantined' },
  quarantined: { versionsAgree: 'serving' },
} as const;

/** Consecutive failures after which a back end is `failing`. */
const FAILURE_THRESHOLD = 2;
/** Age at which a load report no longer counts, milliseconds. */
const REPORT_MAX_AGE_MS = 5_000;
/** Ejection time after a failure of a `failing` back end, milliseconds. */
const EJECTION_MS = 1_000;

export class BackendEntry {
  readonly lifecycle: Lifecycle<BackendHealth, BackendEvent>;
  /** Requests in flight from this node. */
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

  /** Last report; `undefined` before the first one and for back ends that are not engines. */
  get engineState(): EngineState | undefined {
    return this.report;
  }

  /** Weight version of the engine; `undefined` if it is unknown or differs between shards. */
  get version(): number | undefined {
    const versions = new Set(this.report?.shardVersions ?? []);
    return versions.size === 1 ? [...versions][0] : undefined;
  }

  /** Requests in flight from this node plus those of the last report, weighted down with its age. */
  get load(): number {
    if (!this.report) return this.inFlight;
    const weight = Math.max(0, 1 - (monotonicMs() - this.reportedAtMs) / REPORT_MAX_AGE_MS);
    return this.inFlight + weight * (this.report.running + this.report.queued);
  }

  /** An ejected back end is used only if no other one is eligible. */
  get isEjected(): boolean {
    return this.lifecycle.current === 'failing' && monotonicMs() - this.failedAtMs < EJECTION_MS;
  }

  /** Records a report of the engine, which also counts as a success. */
  recordReport(report: EngineState): void {
    this.report = report;
    this.reportedAtMs = monotonicMs();
    const mixed = new Set(report.shardVersions).size > 1;
    if (mixed && !report.swapping) {
      this.lifecycle.sendIfAccepted('mixedVersions', `shard versions ${report.shardVersions.join(', ')}`);
    }
    if (!mixed) this.lifecycle.sendIfAccepted('versionsAgree');
    this.recordSuccess();
  }

  recordSuccess(): void {
    this.consecutiveFailures = 0;
    this.lifecycle.sendIfAccepted('answered');
  }

  recordFailure(reason: string): void {
    this.consecutiveFailures += 1;
    this.failedAtMs = monotonicMs();
    if (this.consecutiveFailures >= FAILURE_THRESHOLD) this.lifecycle.sendIfAccepted('failed', reason);
  }
}

/** All declared back ends, updated with the configuration. */
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

  get(name: string): BackendEntry | undefined {
    return this.entries.get(name);
  }

  /** Back ends of a service, sorted by name. */
  ofService(service: string): readonly BackendEntry[] {
    return this.byService.get(service) ?? [];
  }

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
    // A new address is a different process, so the observed state starts from scratch.
    if (existing && existing.declaration.spec.address === declaration.spec.address)
      existing.declaration = declaration;
    else this.entries.set(declaration.metadata.name, new BackendEntry(declaration, this.observer));
  }
}
