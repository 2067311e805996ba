/**
 * Rules of writes to resources: preconditions, what a principal may write, and which approvals a write keeps.
 * Decisions on the request, the configuration in force and the stored resource; nothing is changed here.
 */
import { err, ok, type Result } from 'neverthrow';
import { uniqueId } from '../../../common/identifier.js';
import { CoordinationError } from '../../../coordination/resource/coordination-error.js';
import { checkManifest, type Manifest } from '../../../protocol/resource/manifest.js';
import { READ_ONLY_KINDS, type Resource } from '../../../protocol/resource/resource.js';
import { type Exchange, InvalidRequestError } from './exchange.js';
import { isOperator, type ResourceParts } from './resource-common.js';

const OPERATION_HEADER = 'x-operation-id';
/** Characters of an operation ID below which it is not trusted to be unique. Chosen, not measured. */
const MIN_OPERATION_ID_LENGTH = 8;

/** The version in `If-Match`: a number in quotes, `*` for any. */
export function ifMatch(exchange: Exchange): Result<number | 'any' | undefined, CoordinationError> {
  const header = exchange.request.headers['if-match'];
  if (header === undefined) return ok(undefined);
  if (header === '*') return ok('any');
  const version = Number(header.replaceAll('"', ''));
  if (Number.isInteger(version) && version >= 0) return ok(version);
  return err(
    new InvalidRequestError([{ field: 'if-match', message: 'must be a resourceVersion in quotes, or *' }]),
  );
}

/** Checks a manifest against its schema, and that the principal may write its kind. */
export function checkWritable(exchange: Exchange, value: unknown): Result<Manifest, CoordinationError> {
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
export function keepApprovals(manifest: Manifest, stored: Resource | undefined): Manifest {
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

/** Whether the principal may publish a version: an operator, or the trainer whose models include this one. */
export function trainerMayPublish(parts: ResourceParts, exchange: Exchange, manifest: Manifest): boolean {
  if (isOperator(exchange)) return true;
  const trainer = parts.view.get('Trainer', exchange.principal.trainer ?? '');
  return trainer?.spec.models.includes((manifest.spec as { model: string }).model) ?? false;
}

/** The error when a manifest has another kind or name than its URL. */
export function addressMismatch(exchange: Exchange, manifest: Manifest): InvalidRequestError | undefined {
  const problems = [];
  if (manifest.kind !== exchange.params.kind)
    problems.push({ field: 'kind', message: `must be ${exchange.params.kind}` });
  if (manifest.metadata.name !== exchange.params.name) {
    problems.push({ field: 'metadata.name', message: `must be ${exchange.params.name}` });
  }
  return problems.length > 0 ? new InvalidRequestError(problems) : undefined;
}

/** The caller's operation ID, under which a repeat commits once, or a new one. */
export function operationId(exchange: Exchange): string {
  const header = exchange.request.headers[OPERATION_HEADER];
  return typeof header === 'string' && header.length >= MIN_OPERATION_ID_LENGTH ? header : uniqueId();
}

/** An error with `prefix` before its field names. */
export function prefixed(error: CoordinationError, prefix: string): CoordinationError {
  if (!(error instanceof InvalidRequestError)) return error;
  return new InvalidRequestError(error.fields.map((one) => ({ ...one, field: `${prefix}.${one.field}` })));
}
