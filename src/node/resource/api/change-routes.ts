/**
 * Routes that change resources: put, patch, delete, approve, changesets. Each commits one revision to the
 * store; a write whose answer is lost is repeated under the same operation ID and then returns the revision
 * of the first time.
 */
import { err, ok, type Result } from 'neverthrow';
import { wallTime } from '../../../common/clock.js';
import {
  CoordinationError,
  type CoordinationResult,
  fromState,
} from '../../../coordination/resource/coordination-error.js';
import { isKind } from '../../../protocol/resource/manifest.js';
import {
  ApprovalRequestSchema,
  type Changeset,
  ChangesetSchema,
} from '../../../protocol/resource/operator.js';
import { READ_ONLY_KINDS, type ResourceOf } from '../../../protocol/resource/resource.js';
import { Validator } from '../../../protocol/validation.js';
import type { CommitOutcome, DesiredChange } from '../../../state/resource/configuration/index.js';
import { StateError } from '../../../state/state-error.js';
import { sendJson } from '../../../transport/http-server.js';
import type { Route } from './api-server.js';
import { type Exchange, InvalidRequestError, readAnyJson, readJson } from './exchange.js';
import { mergePatch } from './merge-patch.js';
import { kindOf, type ResourceParts, resourceRoute, withStatus } from './resource-common.js';
import {
  addressMismatch,
  checkWritable,
  ifMatch,
  keepApprovals,
  operationId,
  prefixed,
  trainerMayPublish,
} from './write-rules.js';

const BODY_LIMIT_BYTES = 8 * 1024 * 1024;
const changeset = new Validator(ChangesetSchema);
const approvalRequest = new Validator(ApprovalRequestSchema);

/** Routes that change resources. */
export function changeRoutes(parts: ResourceParts): Route[] {
  const writers = ['operator' as const, 'approver' as const];
  const publishers = [...writers, 'trainer' as const];
  const name = '/v1/resources/:kind/:name';
  const route = resourceRoute(parts);
  return [
    route('PUT', name, publishers, put),
    route('PATCH', name, writers, patch),
    route('DELETE', name, writers, remove),
    route('POST', '/v1/approvals/:name', ['approver'], approve),
    route('POST', '/v1/changesets', writers, commitChangeset),
  ];
}

async function put(parts: ResourceParts, exchange: Exchange): CoordinationResult<void> {
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

async function patch(parts: ResourceParts, exchange: Exchange): CoordinationResult<void> {
  const kind = kindOf(exchange);
  if (kind.isErr()) return err(kind.error);
  const body = await readAnyJson(exchange, BODY_LIMIT_BYTES);
  if (body.isErr()) return err(body.error);
  const match = ifMatch(exchange);
  if (match.isErr()) return err(match.error);
  let rejection: CoordinationError | undefined;
  const outcome = await commitOne(parts, exchange, {
    kind: kind.value,
    name: exchange.params.name ?? '',
    expectedVersion: match.value === 'any' ? undefined : match.value,
    update: (stored) => {
      if (!stored)
        return err(new StateError('not-found', 'none', `no ${kind.value} ${exchange.params.name}`));
      const manifest = checkWritable(exchange, mergePatch(stored, body.value));
      const mismatch = manifest.isOk() ? addressMismatch(exchange, manifest.value) : undefined;
      rejection = manifest.isErr() ? manifest.error : mismatch;
      if (manifest.isErr() || mismatch)
        return err(new StateError('invalid', 'none', rejection?.message ?? ''));
      return ok(keepApprovals(manifest.value, stored));
    },
  });
  return rejection && outcome.isErr() ? err(rejection) : outcome;
}

async function remove(parts: ResourceParts, exchange: Exchange): CoordinationResult<void> {
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

async function approve(parts: ResourceParts, exchange: Exchange): CoordinationResult<void> {
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

/** Commits one change, waits until it is accepted, and answers with the resource. */
async function commitOne(
  parts: ResourceParts,
  exchange: Exchange,
  want: DesiredChange,
): CoordinationResult<void> {
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

/** Records who started or ended the drain of a back end, for `explain`. */
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

/** Commits to the store, then brings this node to the new revision before it responds. */
async function commitAndAccept(
  parts: ResourceParts,
  id: string,
  wanted: readonly DesiredChange[],
): CoordinationResult<CommitOutcome> {
  const committed = await parts.store.commit(id, wanted);
  if (committed.isErr()) return err(fromState(committed.error));
  if (committed.value.changed && parts.view.revision < committed.value.revision)
    await parts.follower.catchUp();
  return ok(committed.value);
}

async function commitChangeset(parts: ResourceParts, exchange: Exchange): CoordinationResult<void> {
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

function toWanted(exchange: Exchange, body: Changeset): Result<DesiredChange[], CoordinationError> {
  const wanted: DesiredChange[] = [];
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
