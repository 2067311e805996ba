/** Routes of operators for resources: read, change, watch, approve. */
import { err, ok, type Result } from 'neverthrow';
import { wallTime } from '../../common/clock.js';
import { uniqueId } from '../../common/identifier.js';
import type { ConfigAcceptance } from '../../coordination/config-acceptance.js';
import { CoordinationError, fromState } from '../../coordination/coordination-error.js';
import { checkManifest, isKind, type Manifest } from '../../protocol/manifest.js';
import { ApprovalRequestSchema, type Changeset, ChangesetSchema } from '../../protocol/operator.js';
import { KINDS, type Kind, READ_ONLY_KINDS, type Resource, ROLLOUT_KIND } from '../../protocol/resource.js';
import { Validator } from '../../protocol/validation.js';
import type { BackendRegistry } from '../../state/backend-registry.js';
import type { CommitOutcome, ConfigStore, WantedChange } from '../../state/config-store.js';
import type { ConfigView } from '../../state/config-view.js';
import type { RolloutLedger } from '../../state/rollout-ledger.js';
import { StateError } from '../../state/state-error.js';
import { sendJson } from '../../transport/http-server.js';
import type { ApiHandler, Route } from './api-server.js';
import { type Exchange, InvalidRequestError, readAnyJson, readJson } from './exchange.js';
import { mergePatch } from './merge-patch.js';
import { statusOf } from './resource-status.js';
import { watchResources } from './watch.js';

/** What the routes need. */
export interface ResourceParts {
  readonly view: ConfigView;
  readonly store: ConfigStore;
  readonly registry: BackendRegistry;
  readonly acceptance: ConfigAcceptance;
  readonly rollouts: RolloutLedger;
  readonly acceptTimeoutMs: number;
  /** Aborted when the node begins to leave; open watches end then. */
  readonly leaving: AbortSignal;
}

const BODY_LIMIT_BYTES = 8 * 1024 * 1024;
const OPERATION_HEADER = 'x-operation-id';
const changeset = new Validator(ChangesetSchema);
const approvalRequest = new Validator(ApprovalRequestSchema);

/** Routes of operators for resources. */
export function resourceRoutes(parts: ResourceParts): Route[] {
  const readers = ['operator' as const, 'approver' as const, 'trainer' as const];
  const writers = ['operator' as const, 'approver' as const];
  const publishers = [...writers, 'trainer' as const];
  const base = '/v1/resources/:kind';
  const bind =
    (handler: (parts: ResourceParts, exchange: Exchange) => ReturnType<ApiHandler>): ApiHandler =>
    (exchange) =>
      handler(parts, exchange);
  return [
    { method: 'GET', pattern: base, roles: readers, isWork: true, handler: bind(list) },
    { method: 'GET', pattern: `${base}/:name`, roles: readers, isWork: true, handler: bind(read) },
    { method: 'PUT', pattern: `${base}/:name`, roles: publishers, isWork: true, handler: bind(put) },
    { method: 'PATCH', pattern: `${base}/:name`, roles: writers, isWork: true, handler: bind(patch) },
    { method: 'DELETE', pattern: `${base}/:name`, roles: writers, isWork: true, handler: bind(remove) },
    {
      method: 'POST',
      pattern: '/v1/approvals/:name',
      roles: ['approver'],
      isWork: true,
      handler: bind(approve),
    },
    {
      method: 'POST',
      pattern: '/v1/changesets',
      roles: writers,
      isWork: true,
      handler: bind(commitChangeset),
    },
    {
      method: 'GET',
      pattern: '/v1/revisions/:revision',
      roles: writers,
      isWork: true,
      handler: bind(revision),
    },
  ];
}

function kindOf(exchange: Exchange): Result<Kind, CoordinationError> {
  const { kind } = exchange.params;
  if (kind === 'AccessPolicy' && !isOperator(exchange)) {
    return err(new CoordinationError('forbidden', 'no', 'only operators may see access policies'));
  }
  if (isKind(kind)) return ok(kind);
  const message = `kind ${kind} is not one of ${[...KINDS, ROLLOUT_KIND].join(', ')}`;
  return err(new CoordinationError('not-found', 'no', message));
}

/** Whether the principal acts for the operators, not for a trainer. */
function isOperator(exchange: Exchange): boolean {
  return exchange.principal.roles.some((role) => role === 'operator' || role === 'approver');
}

const withStatus = (parts: ResourceParts, resource: Resource) => ({
  ...resource,
  status: statusOf(parts.view, parts.registry, resource),
});

async function list(parts: ResourceParts, exchange: Exchange): Promise<Result<void, CoordinationError>> {
  if (exchange.params.kind === ROLLOUT_KIND) return listRollouts(parts, exchange);
  const kind = kindOf(exchange);
  if (kind.isErr()) return err(kind.error);
  if (exchange.url.searchParams.get('watch') === 'true') {
    return watchResources(parts.view, exchange, kind.value, parts.leaving);
  }
  const set = exchange.url.searchParams.get('set');
  const found = parts.view.list(kind.value) as Resource[];
  const items = found.filter((one) => set === null || one.metadata.set === set);
  sendJson(exchange.response, 200, {
    resourceVersion: parts.view.revision,
    items: items.map((one) => withStatus(parts, one)),
  });
  return ok(undefined);
}

async function listRollouts(
  parts: ResourceParts,
  exchange: Exchange,
): Promise<Result<void, CoordinationError>> {
  const own = exchange.principal.trainer;
  const names = own ? [own] : parts.view.list('Trainer').map((trainer) => trainer.metadata.name);
  const items: unknown[] = [];
  for (const trainer of names) {
    const rollouts = await parts.rollouts.list(trainer);
    if (rollouts.isErr()) return err(fromState(rollouts.error));
    for (const { rolloutId, row } of rollouts.value) {
      const metadata = { name: rolloutId, resourceVersion: 0, generation: 1 };
      const spec = { trainer, model: row.model, slots: row.slots, state: row.state };
      items.push({ apiVersion: 'thymecove/v1', kind: ROLLOUT_KIND, metadata, spec });
    }
  }
  sendJson(exchange.response, 200, { resourceVersion: parts.view.revision, items });
  return ok(undefined);
}

async function read(parts: ResourceParts, exchange: Exchange): Promise<Result<void, CoordinationError>> {
  const kind = kindOf(exchange);
  if (kind.isErr()) return err(kind.error);
  const resource = parts.view.get(kind.value, exchange.params.name ?? '') as Resource | undefined;
  if (!resource) return err(notFound(exchange));
  const etag = `"${resource.metadata.resourceVersion}"`;
  sendJson(exchange.response, 200, withStatus(parts, resource), { etag });
  return ok(undefined);
}

function notFound(exchange: Exchange): CoordinationError {
  return new CoordinationError('not-found', 'no', `no ${exchange.params.kind} ${exchange.params.name}`);
}

/** The version in `If-Match`: a number in quotes, `*` for any. */
function ifMatch(exchange: Exchange): Result<number | 'any' | undefined, CoordinationError> {
  const header = exchange.request.headers['if-match'];
  if (header === undefined) return ok(undefined);
  if (header === '*') return ok('any');
  const version = Number(header.replaceAll('"', ''));
  if (Number.isInteger(version) && version >= 0) return ok(version);
  return err(
    new InvalidRequestError([{ field: 'if-match', message: 'must be a resourceVersion in quotes, or *' }]),
  );
}

/** Checks a manifest and what the principal may write. */
function checkWritable(exchange: Exchange, value: unknown): Result<Manifest, CoordinationError> {
  const checked = checkManifest(value);
  if (checked.isErr()) return err(new InvalidRequestError(checked.error));
  const manifest = checked.value;
  if (READ_ONLY_KINDS.includes(manifest.kind)) {
    return err(
      new InvalidRequestError([{ field: 'kind', message: `${manifest.kind} is written by the system only` }]),
    );
  }
  if (!isOperator(exchange) && manifest.kind !== 'ModelVersion') {
    return err(new CoordinationError('forbidden', 'no', 'a trainer may write ModelVersion only'));
  }
  return ok(manifest);
}

/** Approvals change through the approval route alone; any other write keeps those that are stored. */
function keepApprovals(manifest: Manifest, stored: Resource | undefined): Manifest {
  if (manifest.kind !== 'ModelVersion') return manifest;
  const { approvals: _ignored, ...spec } = manifest.spec as Resource['spec'] & { approvals?: unknown };
  const kept =
    stored?.kind === 'ModelVersion' && sameWeights(stored, manifest) ? stored.spec.approvals : undefined;
  return { ...manifest, spec: kept ? { ...spec, approvals: kept } : spec } as Manifest;
}

/** Approvals are given for certain weights; other weights under the same name are not approved. */
function sameWeights(stored: Resource & { kind: 'ModelVersion' }, manifest: Manifest): boolean {
  return (
    JSON.stringify(stored.spec.weights) === JSON.stringify((manifest.spec as typeof stored.spec).weights)
  );
}

function trainerMayPublish(parts: ResourceParts, exchange: Exchange, manifest: Manifest): boolean {
  if (isOperator(exchange)) return true;
  const trainer = parts.view.get('Trainer', exchange.principal.trainer ?? '');
  return trainer?.spec.models.includes((manifest.spec as { model: string }).model) ?? false;
}

async function put(parts: ResourceParts, exchange: Exchange): Promise<Result<void, CoordinationError>> {
  const kind = kindOf(exchange);
  if (kind.isErr()) return err(kind.error);
  const body = await readAnyJson(exchange, BODY_LIMIT_BYTES);
  if (body.isErr()) return err(body.error);
  const manifest = checkWritable(exchange, body.value);
  if (manifest.isErr()) return err(manifest.error);
  const mismatch = addressMismatch(exchange, manifest.value);
  if (mismatch) return err(mismatch);
  if (!trainerMayPublish(parts, exchange, manifest.value)) {
    return err(new CoordinationError('forbidden', 'no', 'the model is not one of the trainer'));
  }
  const match = ifMatch(exchange);
  if (match.isErr()) return err(match.error);
  // Without If-Match a PUT creates; it never overwrites what its writer has not seen.
  const expectedVersion = match.value === 'any' ? undefined : (match.value ?? 0);
  return commitOne(parts, exchange, {
    kind: kind.value,
    name: manifest.value.metadata.name,
    expectedVersion,
    update: (stored) => ok(keepApprovals(manifest.value, stored)),
  });
}

function addressMismatch(exchange: Exchange, manifest: Manifest): InvalidRequestError | undefined {
  const problems = [];
  if (manifest.kind !== exchange.params.kind)
    problems.push({ field: 'kind', message: `must be ${exchange.params.kind}` });
  if (manifest.metadata.name !== exchange.params.name) {
    problems.push({ field: 'metadata.name', message: `must be ${exchange.params.name}` });
  }
  return problems.length > 0 ? new InvalidRequestError(problems) : undefined;
}

async function patch(parts: ResourceParts, exchange: Exchange): Promise<Result<void, CoordinationError>> {
  const kind = kindOf(exchange);
  if (kind.isErr()) return err(kind.error);
  const body = await readAnyJson(exchange, BODY_LIMIT_BYTES);
  if (body.isErr()) return err(body.error);
  const match = ifMatch(exchange);
  if (match.isErr()) return err(match.error);
  let refused: CoordinationError | undefined;
  const outcome = await commitOne(parts, exchange, {
    kind: kind.value,
    name: exchange.params.name ?? '',
    expectedVersion: match.value === 'any' ? undefined : match.value,
    update: (stored) => {
      if (!stored)
        return err(new StateError('not-found', 'none', `no ${kind.value} ${exchange.params.name}`));
      const manifest = checkWritable(exchange, mergePatch(stored, body.value));
      const mismatch = manifest.isOk() ? addressMismatch(exchange, manifest.value) : undefined;
      refused = manifest.isErr() ? manifest.error : mismatch;
      if (manifest.isErr() || mismatch) return err(new StateError('invalid', 'none', refused?.message ?? ''));
      return ok(keepApprovals(manifest.value, stored));
    },
  });
  return refused && outcome.isErr() ? err(refused) : outcome;
}

async function remove(parts: ResourceParts, exchange: Exchange): Promise<Result<void, CoordinationError>> {
  const kind = kindOf(exchange);
  if (kind.isErr()) return err(kind.error);
  if (READ_ONLY_KINDS.includes(kind.value)) {
    return err(
      new InvalidRequestError([{ field: 'kind', message: `${kind.value} is written by the system only` }]),
    );
  }
  const match = ifMatch(exchange);
  if (match.isErr()) return err(match.error);
  return commitOne(parts, exchange, {
    kind: kind.value,
    name: exchange.params.name ?? '',
    expectedVersion: match.value === 'any' ? undefined : match.value,
    update: (stored) =>
      stored
        ? ok(null)
        : err(new StateError('not-found', 'none', `no ${kind.value} ${exchange.params.name}`)),
  });
}

async function approve(parts: ResourceParts, exchange: Exchange): Promise<Result<void, CoordinationError>> {
  const body = await readJson(exchange, approvalRequest, BODY_LIMIT_BYTES);
  if (body.isErr()) return err(body.error);
  const { note } = body.value;
  const approval = { by: exchange.principal.identity, at: wallTime(), ...(note ? { note } : {}) };
  return commitOne(parts, exchange, {
    kind: 'ModelVersion',
    name: exchange.params.name ?? '',
    expectedVersion: undefined,
    update: (stored) => {
      if (stored?.kind !== 'ModelVersion') {
        return err(new StateError('not-found', 'none', `no ModelVersion ${exchange.params.name}`));
      }
      const approvals = stored.spec.approvals ?? [];
      if (approvals.some((one) => one.by === approval.by)) return ok(stored);
      return ok({ ...stored, spec: { ...stored.spec, approvals: [...approvals, approval] } });
    },
  });
}

function operationId(exchange: Exchange): string {
  const header = exchange.request.headers[OPERATION_HEADER];
  return typeof header === 'string' && header.length >= 8 ? header : uniqueId();
}

/** Commits one change, waits until it is accepted, and answers with the resource. */
async function commitOne(
  parts: ResourceParts,
  exchange: Exchange,
  want: WantedChange,
): Promise<Result<void, CoordinationError>> {
  const committed = await commitAndAccept(parts, operationId(exchange), [want]);
  if (committed.isErr()) return err(committed.error);
  const [resource] = committed.value.resources;
  const { revision } = committed.value;
  if (!resource) sendJson(exchange.response, 200, { deleted: true, resourceVersion: revision });
  else {
    const etag = `"${resource.metadata.resourceVersion}"`;
    sendJson(exchange.response, 200, withStatus(parts, resource), { etag });
  }
  return ok(undefined);
}

/** A commit counts as accepted when a majority of the members holds it. */
async function commitAndAccept(
  parts: ResourceParts,
  id: string,
  wanted: readonly WantedChange[],
): Promise<Result<CommitOutcome, CoordinationError>> {
  const committed = await parts.store.commit(id, wanted);
  if (committed.isErr()) return err(fromState(committed.error));
  const { revision, changed } = committed.value;
  if (!changed) return ok(committed.value);
  const report = await parts.acceptance.awaitAccepted(revision, parts.acceptTimeoutMs);
  if (report.accepted) return ok(committed.value);
  const message =
    `revision ${revision} is committed and will come into force, but only ${report.holders} of ` +
    `${report.members} members hold it; settle it by repeating operation ${id}`;
  return err(new CoordinationError('not-accepted-yet', 'unknown', message, 1_000));
}

async function commitChangeset(
  parts: ResourceParts,
  exchange: Exchange,
): Promise<Result<void, CoordinationError>> {
  const body = await readJson(exchange, changeset, BODY_LIMIT_BYTES);
  if (body.isErr()) return err(body.error);
  const wanted = toWanted(exchange, body.value);
  if (wanted.isErr()) return err(wanted.error);
  if (body.value.dryRun) {
    const preview = await parts.store.preview(wanted.value);
    if (preview.isErr()) return err(fromState(preview.error));
    sendJson(exchange.response, 200, {
      revision: parts.view.revision,
      changed: preview.value.changed,
      accepted: false,
    });
    return ok(undefined);
  }
  const committed = await commitAndAccept(parts, body.value.operationId, wanted.value);
  if (committed.isErr()) return err(committed.error);
  const { revision, changed } = committed.value;
  sendJson(exchange.response, 200, { revision, changed, accepted: true });
  return ok(undefined);
}

function toWanted(exchange: Exchange, body: Changeset): Result<WantedChange[], CoordinationError> {
  const wanted: WantedChange[] = [];
  for (const [index, change] of body.changes.entries()) {
    if (change.action === 'delete') {
      const { kind, name, expectedVersion } = change;
      if (!isKind(kind) || READ_ONLY_KINDS.includes(kind)) {
        return err(
          new InvalidRequestError([
            { field: `changes.${index}.kind`, message: 'is not a kind that can be deleted' },
          ]),
        );
      }
      wanted.push({ kind, name, expectedVersion, update: () => ok(null) });
      continue;
    }
    const manifest = checkWritable(exchange, change.manifest);
    if (manifest.isErr()) return err(prefixed(manifest.error, `changes.${index}.manifest`));
    wanted.push({
      kind: manifest.value.kind,
      name: manifest.value.metadata.name,
      expectedVersion: change.expectedVersion ?? 0,
      update: (stored) => ok(keepApprovals(manifest.value, stored)),
    });
  }
  return ok(wanted);
}

function prefixed(error: CoordinationError, prefix: string): CoordinationError {
  if (!(error instanceof InvalidRequestError)) return error;
  return new InvalidRequestError(error.fields.map((one) => ({ ...one, field: `${prefix}.${one.field}` })));
}

async function revision(parts: ResourceParts, exchange: Exchange): Promise<Result<void, CoordinationError>> {
  const asked = Number(exchange.params.revision);
  if (!Number.isInteger(asked) || asked < 0) {
    return err(new InvalidRequestError([{ field: 'revision', message: 'must be a whole number' }]));
  }
  sendJson(exchange.response, 200, await parts.acceptance.report(asked, 0));
  return ok(undefined);
}
