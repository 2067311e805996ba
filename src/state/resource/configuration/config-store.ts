/**
 * The configuration in the store. One transaction writes the head, the log entry of the revision, the
 * resources and a row for the operation ID, which makes a repeated commit return the first outcome.
 * Concurrent commits conflict at the head, and the losing one is retried.
 *
 * Rows: `config/head` {revision}, `config/log/{revision}` ConfigEntry, `config/resource/{kind}/{name}`
 * Resource, `config/operation/{operationId}` {revision}, `published/{model}` {version}.
 */
import { err, ok, type Result } from 'neverthrow';
import type { ConfigEntry } from '../../../protocol/resource/configuration-entry.js';
import type { Manifest } from '../../../protocol/resource/manifest.js';
import {
  API_VERSION,
  type Metadata,
  type Resource,
  resourceKey,
} from '../../../protocol/resource/resource.js';
import { StateError } from '../../state-error.js';
import type { Row, StateResult, Transaction } from '../tables/index.js';
import { type Attempt, scanAll, settle, type Table } from '../tables/index.js';

const HEAD_KEY = 'config/head';
const RESOURCE_PREFIX = 'config/resource/';
const REVISION_DIGITS = 12;
/** Each concurrent writer can cost one attempt. */
const MAX_COMMIT_ATTEMPTS = 8;
/** Page size of the store's scans. */
const LOG_PAGE_SIZE = 1_000;

const logKey = (revision: number) => `config/log/${revision.toString().padStart(REVISION_DIGITS, '0')}`;
const rowKey = (kind: string, name: string) => `${RESOURCE_PREFIX}${resourceKey(kind, name)}`;
const operationKey = (operationId: string) => `config/operation/${operationId}`;

export const publishedKey = (model: string) => `published/${model}`;

/** Newest published version of a model, from its row; 0 without a row. */
export function publishedVersion(row: Row | undefined): number {
  return (row?.value as { version: number } | undefined)?.version ?? 0;
}

export interface DesiredChange {
  readonly kind: string;
  readonly name: string;
  /** Expected `resourceVersion`: 0 if the resource must not exist, `undefined` for any. */
  readonly expectedVersion: number | undefined;
  /** Returns the new manifest for the stored resource; null deletes it. */
  readonly update: (stored: Resource | undefined) => Result<Manifest | null, StateError>;
}

/** Result of a commit or a preview. */
export interface CommitOutcome {
  readonly revision: number;
  /** False if there was no difference, so that nothing was written. */
  readonly changed: boolean;
  readonly resources: readonly (Resource | null)[];
}

interface CommitPlan {
  readonly entry: ConfigEntry;
  readonly transaction: Transaction;
  readonly outcome: CommitOutcome;
}

function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, inner) =>
    inner && typeof inner === 'object' && !Array.isArray(inner)
      ? Object.fromEntries(Object.entries(inner).sort(([a], [b]) => (a < b ? -1 : 1)))
      : inner,
  );
}

/** Compares labels, set and spec; a different source revision alone does not count as a change. */
export function sameDeclaration(stored: Resource, manifest: Manifest): boolean {
  const declared = (labels: unknown, set: unknown, spec: unknown) =>
    canonicalJson([labels ?? {}, set ?? '', spec]);
  return (
    declared(stored.metadata.labels, stored.metadata.set, stored.spec) ===
    declared(manifest.metadata.labels, manifest.metadata.set, manifest.spec)
  );
}

function toStoredResource(manifest: Manifest, before: Resource | undefined, revision: number): Resource {
  const specChanged = before === undefined || canonicalJson(before.spec) !== canonicalJson(manifest.spec);
  const { name, labels, source, set } = manifest.metadata;
  const metadata: Metadata = {
    name,
    ...(labels ? { labels } : {}),
    resourceVersion: revision,
    generation: (before?.metadata.generation ?? 0) + (specChanged ? 1 : 0),
    ...(source ? { source } : {}),
    ...(set ? { set } : {}),
  };
  return { apiVersion: API_VERSION, kind: manifest.kind, metadata, spec: manifest.spec } as Resource;
}

function headRevision(rows: ReadonlyMap<string, Row>): number {
  return (rows.get(HEAD_KEY)?.value as { revision: number } | undefined)?.revision ?? 0;
}

export class ConfigStore {
  constructor(private readonly table: Table) {}

  /** Newest committed revision. */
  async head(): StateResult<number> {
    const rows = await this.table.read([HEAD_KEY]);
    return rows.map((found) => headRevision(new Map(found.map((row) => [row.key, row]))));
  }

  /** Log entries from `after` (exclusive) to `upTo` (inclusive), at most one page. */
  async entries(after: number, upTo: number): StateResult<ConfigEntry[]> {
    const rows = await this.table.scan(
      'config/log/',
      Math.max(1, Math.min(LOG_PAGE_SIZE, upTo - after)),
      logKey(after),
    );
    return rows.map((found) => found.map((row) => row.value as ConfigEntry));
  }

  /** All resources. Rows may be newer than `revision`; replaying the log from there corrects that. */
  async snapshot(): StateResult<{ revision: number; resources: Resource[] }> {
    const head = await this.head();
    if (head.isErr()) return err(head.error);
    const rows = await scanAll(this.table, RESOURCE_PREFIX);
    return rows.map((found) => ({
      revision: head.value,
      resources: found.map((row) => row.value as Resource),
    }));
  }

  /**
   * Commits changes as one revision. An operation ID commits at most once; repeating it, from any node,
   * returns the revision of the first commit. Fails as `unavailable` if the outcome stays unknown.
   */
  async commit(operationId: string, wanted: readonly DesiredChange[]): StateResult<CommitOutcome> {
    return settle(MAX_COMMIT_ATTEMPTS, 'outcome of the commit is still unknown', () =>
      this.tryCommit(operationId, wanted),
    );
  }

  /** `undefined` after a conflict or a lost response: the next attempt reads the row of the operation. */
  private async tryCommit(operationId: string, wanted: readonly DesiredChange[]): Attempt<CommitOutcome> {
    const rows = await this.readForCommit(operationId, wanted);
    if (rows.isErr()) return err(rows.error);
    const settled = rows.value.get(operationKey(operationId));
    if (settled) return this.committedOutcome(settled, wanted, rows.value);
    const planned = await this.plan(operationId, wanted, rows.value);
    if (planned.isErr()) return err(planned.error);
    const { outcome, transaction } = planned.value;
    if (!outcome.changed) return ok(outcome);
    const result = await this.table.transact(transaction);
    if (result.isOk()) return result.value.committed ? ok(outcome) : undefined;
    const isFinal = result.error.effect === 'none' && result.error.failure !== 'conflict';
    return isFinal ? err(result.error) : undefined;
  }

  /** Outcome that a commit would have. */
  async preview(wanted: readonly DesiredChange[]): StateResult<CommitOutcome> {
    const rows = await this.readForCommit('preview', wanted);
    if (rows.isErr()) return err(rows.error);
    const planned = await this.plan('preview', wanted, rows.value);
    return planned.map((plan) => plan.outcome);
  }

  private async readForCommit(operationId: string, wanted: readonly DesiredChange[]) {
    const keys = [HEAD_KEY, operationKey(operationId), ...wanted.map((one) => rowKey(one.kind, one.name))];
    const rows = await this.table.read(keys);
    return rows.map((found) => new Map(found.map((row) => [row.key, row])));
  }

  private committedOutcome(
    settled: Row,
    wanted: readonly DesiredChange[],
    rows: ReadonlyMap<string, Row>,
  ): Result<CommitOutcome, StateError> {
    const { revision } = settled.value as { revision: number };
    const resources = wanted.map((one) => (rows.get(rowKey(one.kind, one.name))?.value as Resource) ?? null);
    return ok({ revision, changed: true, resources });
  }

  private async plan(
    operationId: string,
    wanted: readonly DesiredChange[],
    rows: ReadonlyMap<string, Row>,
  ): StateResult<CommitPlan> {
    const revision = headRevision(rows) + 1;
    const changes: ConfigEntry['changes'] = [];
    const resources: (Resource | null)[] = [];
    const transaction: Transaction = { conditions: [], writes: [] };
    for (const want of wanted) {
      const row = rows.get(rowKey(want.kind, want.name));
      const next = nextResource(want, row?.value as Resource | undefined, revision);
      if (next.isErr()) return err(next.error);
      resources.push(next.value.resource);
      if (!next.value.changed) continue;
      changes.push({ kind: want.kind, name: want.name, resource: next.value.resource });
      transaction.conditions.push({ key: rowKey(want.kind, want.name), version: row?.version ?? 0 });
      transaction.writes.push({ key: rowKey(want.kind, want.name), value: next.value.resource });
    }
    if (changes.length === 0) return ok(unchangedPlan(revision - 1, resources));
    const entry: ConfigEntry = { revision, operationId, changes };
    const published = await this.publishedWrites(changes);
    if (published.isErr()) return err(published.error);
    transaction.conditions.push(...published.value.conditions);
    transaction.writes.push(...published.value.writes);
    transaction.conditions.push({ key: HEAD_KEY, version: rows.get(HEAD_KEY)?.version ?? 0 });
    transaction.conditions.push({ key: operationKey(operationId), version: 0 });
    transaction.writes.push({ key: HEAD_KEY, value: { revision } });
    transaction.writes.push({ key: logKey(revision), value: entry });
    transaction.writes.push({ key: operationKey(operationId), value: { revision } });
    return ok({ entry, transaction, outcome: { revision, changed: true, resources } });
  }

  /** Updates the newest published version of each model, against which draws check staleness. */
  private async publishedWrites(changes: ConfigEntry['changes']): StateResult<Transaction> {
    const newest = newestVersions(changes);
    const transaction: Transaction = { conditions: [], writes: [] };
    if (newest.size === 0) return ok(transaction);
    const rows = await this.table.read([...newest.keys()].map(publishedKey));
    if (rows.isErr()) return err(rows.error);
    const stored = new Map(rows.value.map((row) => [row.key, row]));
    for (const [model, version] of newest) {
      const row = stored.get(publishedKey(model));
      if (publishedVersion(row) >= version && row) continue;
      transaction.conditions.push({ key: publishedKey(model), version: row?.version ?? 0 });
      transaction.writes.push({ key: publishedKey(model), value: { version } });
    }
    return ok(transaction);
  }
}

/** Newest version of each model among the changes. */
function newestVersions(changes: ConfigEntry['changes']): Map<string, number> {
  const newest = new Map<string, number>();
  for (const change of changes) {
    const resource = change.resource as Resource | null;
    if (resource?.kind !== 'ModelVersion') continue;
    const { model, version } = resource.spec;
    newest.set(model, Math.max(version, newest.get(model) ?? 0));
  }
  return newest;
}

function unchangedPlan(revision: number, resources: readonly (Resource | null)[]): CommitPlan {
  return {
    entry: { revision, operationId: '', changes: [] },
    transaction: { conditions: [], writes: [] },
    outcome: { revision, changed: false, resources },
  };
}

function nextResource(
  want: DesiredChange,
  stored: Resource | undefined,
  revision: number,
): Result<{ resource: Resource | null; changed: boolean }, StateError> {
  const current = stored?.metadata.resourceVersion ?? 0;
  const manifest = want.update(stored);
  if (manifest.isErr()) return err(manifest.error);
  if (manifest.value !== null && stored && sameDeclaration(stored, manifest.value)) {
    return ok({ resource: stored, changed: false });
  }
  if (want.expectedVersion !== undefined && want.expectedVersion !== current) {
    const versions = { expected: want.expectedVersion, current };
    const message = `${want.kind}/${want.name} is at version ${current}, not ${want.expectedVersion}`;
    return err(new StateError('conflict', 'none', message, undefined, versions));
  }
  if (manifest.value === null) return ok({ resource: null, changed: stored !== undefined });
  return ok({ resource: toStoredResource(manifest.value, stored, revision), changed: true });
}
