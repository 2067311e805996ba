/**
 * In-memory copy of the configuration on this node, updated by `ConfigFollower` one whole revision at a time.
 * The last `HISTORY_LIMIT` revisions are kept for watches; a watch that is further behind lists again.
 */
import type { ConfigEntry } from '../../../protocol/resource/configuration-entry.js';
import {
  type Kind,
  type Resource,
  type ResourceOf,
  resourceKey,
} from '../../../protocol/resource/resource.js';

/** A change delivered to watches and listeners. */
export interface ConfigEvent {
  readonly type: 'put' | 'delete';
  readonly revision: number;
  readonly kind: string;
  readonly name: string;
  readonly resource: Resource | null;
}

const HISTORY_LIMIT = 4_096;

type Listener = (events: readonly ConfigEvent[], revision: number) => void;

export class ConfigView {
  private readonly resources = new Map<string, Resource>();
  private history: ConfigEntry[] = [];
  private readonly listeners = new Set<Listener>();
  private currentRevision = 0;

  get revision(): number {
    return this.currentRevision;
  }

  /** Applies the next revision. Returns false if it does not directly follow the current one. */
  apply(entry: ConfigEntry): boolean {
    if (entry.revision !== this.currentRevision + 1) return false;
    const events = entry.changes.map((change) => this.applyChange(entry.revision, change));
    this.history.push(entry);
    if (this.history.length > HISTORY_LIMIT) this.history.shift();
    this.advance(entry.revision, events);
    return true;
  }

  /** Replaces all resources. Returns false if the revision is not newer than the current one. */
  loadSnapshot(revision: number, resources: readonly Resource[]): boolean {
    if (revision <= this.currentRevision) return false;
    const incoming = new Map(resources.map((one) => [resourceKey(one.kind, one.metadata.name), one]));
    const removed = [...this.resources.values()].filter(
      (one) => !incoming.has(resourceKey(one.kind, one.metadata.name)),
    );
    const events = [
      ...removed.map((one) =>
        this.applyChange(revision, { kind: one.kind, name: one.metadata.name, resource: null }),
      ),
      ...resources.map((one) =>
        this.applyChange(revision, { kind: one.kind, name: one.metadata.name, resource: one }),
      ),
    ];
    this.history = [];
    this.advance(revision, events);
    return true;
  }

  /** Entries after `revision`; `undefined` if they are no longer in the history. */
  entriesAfter(revision: number): readonly ConfigEntry[] | undefined {
    if (revision >= this.currentRevision) return [];
    const first = this.history[0]?.revision;
    if (first === undefined || first > revision + 1) return undefined;
    return this.history.slice(revision + 1 - first);
  }

  get<K extends Kind>(kind: K, name: string): ResourceOf<K> | undefined {
    return this.resources.get(resourceKey(kind, name)) as ResourceOf<K> | undefined;
  }

  /** All resources of a kind, sorted by name. */
  list<K extends Kind>(kind: K): ResourceOf<K>[] {
    const found = [...this.resources.values()].filter(
      (one) => one.kind === kind,
    ) as unknown as ResourceOf<K>[];
    return found.sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
  }

  /** Calls `listener` after each revision; returns a function that unsubscribes it. */
  subscribe(listener: Listener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Resolves when the revision reaches `atLeast`, after `waitMs` milliseconds, or on abort. */
  waitForRevision(atLeast: number, waitMs: number, signal?: AbortSignal): Promise<void> {
    if (this.currentRevision >= atLeast || waitMs === 0 || signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        unsubscribe();
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      const unsubscribe = this.subscribe(() => {
        if (this.currentRevision >= atLeast) finish();
      });
      signal?.addEventListener('abort', finish, { once: true });
    });
  }

  private applyChange(revision: number, change: ConfigEntry['changes'][number]): ConfigEvent {
    const key = resourceKey(change.kind, change.name);
    const resource = change.resource as Resource | null;
    if (resource === null) this.resources.delete(key);
    else this.resources.set(key, resource);
    return {
      type: resource === null ? 'delete' : 'put',
      revision,
      kind: change.kind,
      name: change.name,
      resource,
    };
  }

  private advance(revision: number, events: readonly ConfigEvent[]): void {
    this.currentRevision = revision;
    for (const listener of [...this.listeners]) listener(events, revision);
  }
}
