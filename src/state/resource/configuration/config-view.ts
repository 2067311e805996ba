/**
 * The configuration in force on this node: resources at one revision, which only grows. `ConfigFollower`
 * feeds it from the store; readers see each revision whole. The last `HISTORY_LIMIT` entries are kept for
 * watches, which list again beyond.
 */
import type { ConfigEntry } from '../../../protocol/resource/configuration-entry.js';
import {
  type Kind,
  type Resource,
  type ResourceOf,
  resourceKey,
} from '../../../protocol/resource/resource.js';

/** A change as watchers see it. */
export interface ConfigEvent {
  readonly type: 'put' | 'delete';
  readonly revision: number;
  readonly kind: string;
  readonly name: string;
  readonly resource: Resource | null;
}

/** Accepted revisions kept for peers and watches that are behind. Chosen, not measured. */
const HISTORY_LIMIT = 4_096;

type Listener = (events: readonly ConfigEvent[], revision: number) => void;

/** One view for a node. */
export class ConfigView {
  private readonly resources = new Map<string, Resource>();
  private history: ConfigEntry[] = [];
  private readonly listeners = new Set<Listener>();
  private currentRevision = 0;

  /** The revision in force. */
  get revision(): number {
    return this.currentRevision;
  }

  /** Puts the next revision in force. False when it does not follow the current one. */
  apply(entry: ConfigEntry): boolean {
    if (entry.revision !== this.currentRevision + 1) return false;
    const events = entry.changes.map((change) => this.applyChange(entry.revision, change));
    this.history.push(entry);
    if (this.history.length > HISTORY_LIMIT) this.history.shift();
    this.advance(entry.revision, events);
    return true;
  }

  /** Replaces everything by a newer state. False when it is not newer. */
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

  /** Entries after `revision`, or `undefined` when they are no longer kept. */
  entriesAfter(revision: number): readonly ConfigEntry[] | undefined {
    if (revision >= this.currentRevision) return [];
    const first = this.history[0]?.revision;
    if (first === undefined || first > revision + 1) return undefined;
    return this.history.slice(revision + 1 - first);
  }

  /** One resource. */
  get<K extends Kind>(kind: K, name: string): ResourceOf<K> | undefined {
    return this.resources.get(resourceKey(kind, name)) as ResourceOf<K> | undefined;
  }

  /** All resources of a kind, by name. */
  list<K extends Kind>(kind: K): ResourceOf<K>[] {
    const found = [...this.resources.values()].filter(
      (one) => one.kind === kind,
    ) as unknown as ResourceOf<K>[];
    return found.sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
  }

  /** Calls `listener` after each change; returns a function that unsubscribes it. */
  subscribe(listener: Listener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Resolves once the revision is at least `atLeast`, after `waitMs`, or on abort. */
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
