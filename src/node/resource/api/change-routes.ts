/** Routes that change resources: put, patch, delete, approve, changesets. */
import { err, ok, type Result } from 'neverthrow';
import { wallTime } from '../../../common/clock.js';
import { uniqueId } from '../../../common/identifier.js';
import { CoordinationError, fromState } from '../../../coordination/resource/coordination-error.js';
import { checkManifest, isKind, type Manifest } from '../../../protocol/resource/manifest.js';
import {
  ApprovalRequestSchema,
  type Changeset,
  ChangesetSchema,
} from '../../../protocol/resource/operator.js';
import { READ_ONLY_KINDS, type Resource, type ResourceOf } from '../../../protocol/resource/resource.js';
import { Validator } from '../../../protocol/validation.js';
import type { CommitOutcome, WantedChange } from '../../../state/resource/configuration/index.js';
import { StateError } from '../../../state/state-error.js';
import { sendJson } from '../../../transport/http-server.js';
import type { ApiHandler, Route } from './api-server.js';
import { type Exchange, InvalidRequestError, readAnyJson, readJson } from './exchange.js';
import { mergePatch } from './merge-patch.js';
import { isOperator, kindOf, type ResourceParts, withStatus } from './resource-common.js';

const BODY_LIMIT_BYTES = 8 * 1024 * 1024;
const OPERATION_HEADER = 'x-operation-id';
const changeset = new Validator(ChangesetSchema);
const approvalRequest = new Validator(ApprovalRequestSchema);

/** Routes that change resources. */
export function changeRoutes(parts: ResourceParts): Route[] {
  const writers = ['operator' as const, 'approver' as const];
  const publishers = [...writers, 'trainer' as const];
  const base = '/v1/resources/:kind';
  const bind =
    (handler: (parts: ResourceParts, exchange: Exchange) => ReturnType<ApiHandler>): ApiHandler =>
    (exchange) =>
      handler(parts, exchange);
  return [
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
  ];
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
  const { revision, changed } = committed.value;
  if (changed && resource?.kind === 'Backend') noteBackendChange(parts, exchange, resource);
  if (!resource) sendJson(exchange.response, 200, { deleted: true, resourceVersion: revision });
  else {
    const etag = `"${resource.metadata.resourceVersion}"`;
    sendJson(exchange.response, 200, withStatus(parts, resource), { etag });
  }
  return ok(undefined);
}

/** Keeps who took a back end out of use or back into it, for `explain`. */
function noteBackendChange(parts: ResourceParts, exchange: Exchange, backend: ResourceOf<'Backend'>): void {
  const { name, resourceVersion } = backend.metadata;
  parts.decisions.record({
    kind: 'drain',
    subjects: [`backend/${name}`, exchange.requestId],
    choice: backend.spec.draining ? 'draining' : 'in use',
    reason: backend.spec.drainReason ?? 'declared',
    inputs: { note: `by ${exchange.principal.identity}, version ${resourceVersion}` },
  });
}

/** A change is accepted when the store has committed it; this node then takes it before it answers. */
async function commitAndAccept(
  parts: ResourceParts,
  id: string,
  wanted: readonly WantedChange[],
): Promise<Result<CommitOutcome, CoordinationError>> {
  const committed = await parts.store.commit(id, wanted);
  if (committed.isErr()) return err(fromState(committed.error));
  if (committed.value.changed && parts.view.revision < committed.value.revision)
    await parts.follower.readNow();
  return ok(committed.value);
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
