/** Computes the changes that an apply would make, by comparing declarations with the stored resources. */
import { err, ok, type Result } from 'neverthrow';
import type { ProtocolError } from '../protocol/protocol-error.js';
import type { Manifest } from '../protocol/resource/manifest.js';
import type { Changeset } from '../protocol/resource/operator.js';
import type { ApiResource, OperatorClient } from '../protocol/resource/operator-client.js';
import { KINDS, READ_ONLY_KINDS, type Resource, resourceKey } from '../protocol/resource/resource.js';
import { sameDeclaration } from '../state/resource/configuration/index.js';
import type { Declaration } from './declarations.js';

export interface PlannedChange {
  readonly action: 'create' | 'update' | 'delete' | 'unchanged';
  readonly kind: string;
  readonly name: string;
  /** Resource version that the change is based on; 0 if the resource does not exist. */
  readonly basedOn: number;
  readonly differences: readonly FieldDifference[];
  readonly manifest?: Manifest;
}

export interface FieldDifference {
  /** Dotted path. */
  readonly field: string;
  /** The stored value. */
  readonly inForce: unknown;
  readonly declared: unknown;
}

export interface PlanOptions {
  /** Name of the set of declarations. */
  readonly set: string;
  /** Revision of the source tree. */
  readonly source: string | undefined;
  /** Whether to delete stored resources of the set that are no longer declared. */
  readonly prune: boolean;
}

/** Fields set by commands such as `drain`; a declaration that omits them keeps the stored value. */
const OPERATIONAL_FIELDS: Readonly<Record<string, readonly string[]>> = {
  Backend: ['draining', 'drainReason'],
  ModelVersion: ['approvals'],
};

type JsonObject = Record<string, unknown>;

function withOperationalFields(manifest: Manifest, stored: ApiResource | undefined): Manifest {
  const spec: JsonObject = { ...manifest.spec };
  for (const field of OPERATIONAL_FIELDS[manifest.kind] ?? []) {
    if (!(field in spec) && stored && field in stored.spec) spec[field] = stored.spec[field];
  }
  return { ...manifest, spec: spec as Manifest['spec'] };
}

function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function differencesBetween(inForce: unknown, declared: unknown, path = ''): FieldDifference[] {
  if (isJsonObject(inForce) && isJsonObject(declared)) {
    const names = [...new Set([...Object.keys(inForce), ...Object.keys(declared)])].sort();
    return names.flatMap((name) =>
      differencesBetween(inForce[name], declared[name], path ? `${path}.${name}` : name),
    );
  }
  return JSON.stringify(inForce) === JSON.stringify(declared) ? [] : [{ field: path, inForce, declared }];
}

function planChange(
  declaration: Declaration,
  stored: ApiResource | undefined,
  options: PlanOptions,
): PlannedChange {
  const completed = withOperationalFields(declaration.manifest, stored);
  const { name, labels } = completed.metadata;
  const metadata = {
    name,
    ...(labels ? { labels } : {}),
    set: options.set,
    ...(options.source ? { source: options.source } : {}),
  };
  const manifest: Manifest = { ...completed, metadata };
  const { kind } = manifest;
  if (!stored) return { action: 'create', kind, name, basedOn: 0, differences: [], manifest };
  const basedOn = stored.metadata.resourceVersion;
  if (sameDeclaration(stored as unknown as Resource, manifest)) {
    return { action: 'unchanged', kind, name, basedOn, differences: [] };
  }
  const comparable = (one: { metadata: JsonObject; spec: unknown }) => ({
    metadata: { labels: one.metadata.labels ?? {}, set: one.metadata.set ?? '' },
    spec: one.spec,
  });
  const differences = differencesBetween(comparable(stored), comparable(manifest as never));
  return { action: 'update', kind, name, basedOn, differences, manifest };
}

/** Plans an apply. `prune` deletes only resources that an earlier apply of the same set declared. */
export async function planApply(
  client: OperatorClient,
  declarations: readonly Declaration[],
  options: PlanOptions,
): Promise<Result<PlannedChange[], ProtocolError>> {
  const stored = new Map<string, ApiResource>();
  for (const kind of KINDS.filter((one) => !READ_ONLY_KINDS.includes(one))) {
    const found = await client.list(kind);
    if (found.isErr()) return err(found.error);
    for (const one of found.value.items) stored.set(resourceKey(one.kind, one.metadata.name), one);
  }
  const planned = declarations.map((one) =>
    planChange(one, stored.get(resourceKey(one.manifest.kind, one.manifest.metadata.name)), options),
  );
  if (!options.prune) return ok(planned);
  const declared = new Set(planned.map((one) => resourceKey(one.kind, one.name)));
  const pruned = [...stored.values()]
    .filter(
      (one) => one.metadata.set === options.set && !declared.has(resourceKey(one.kind, one.metadata.name)),
    )
    .map((one): PlannedChange => {
      const { name, resourceVersion } = one.metadata;
      return { action: 'delete', kind: one.kind, name, basedOn: resourceVersion, differences: [] };
    });
  return ok([...planned, ...pruned]);
}

/** The changeset of a plan; `undefined` if there are no changes. */
export function toChangeset(
  plan: readonly PlannedChange[],
  operationId: string,
  dryRun: boolean,
): Changeset | undefined {
  const changes = plan
    .filter((one) => one.action !== 'unchanged')
    .map((one): Changeset['changes'][number] =>
      one.action === 'delete'
        ? { action: 'delete', kind: one.kind, name: one.name, expectedVersion: one.basedOn }
        : { action: 'put', manifest: one.manifest, expectedVersion: one.basedOn },
    );
  return changes.length === 0 ? undefined : { operationId, dryRun, changes };
}
