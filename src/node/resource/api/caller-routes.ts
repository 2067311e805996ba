/** Routes of callers: application services and completions. */
import { err, ok, type Result } from 'neverthrow';
import { monotonicMs } from '../../../common/clock.js';
import { sha256Hex } from '../../../common/identifier.js';
import { CoordinationError, fromState } from '../../../coordination/resource/coordination-error.js';
import type { WorkGate } from '../../../coordination/resource/requests/index.js';
import {
  type ApplicationRelay,
  type ApplicationRequest,
  endToEndHeaders,
  hasDeclaredEnd,
  REQUEST_ID_HEADER,
  type RelayedAnswer,
  type RequestContext,
  TIMEOUT_HEADER,
  timeLeftMs,
  writeRelayedHead,
} from '../../../coordination/resource/requests/index.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { AdmissionLimits } from '../../../state/resource/backends/index.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { DecisionLog } from '../../../state/resource/decision-log.js';
import type { ClaimStore, HeldClaim, RecordedAnswer } from '../../../state/resource/samples/index.js';
import { readFully } from '../../../transport/http-client.js';
import { callerGone } from '../../../transport/http-server.js';
import { copyBody } from '../../../transport/stream-write.js';
import type { Route } from './api-server.js';
import { type Exchange, InvalidRequestError, readBody } from './exchange.js';

const DEFAULT_BODY_LIMIT_BYTES = 1024 * 1024;
const DEFAULT_TIMEOUT_MS = 30_000;
const MAX_TIMEOUT_MS = 30 * 60 * 1_000;
const RECORDED_BODY_LIMIT_BYTES = 8 * 1024 * 1024;
const OVERLOAD_RETRY_MS = 1_000;
const IN_PROGRESS_RETRY_MS = 1_000;
const MAX_KEY_LENGTH = 256;
const SERVICES_PREFIX = '/services/';

/** What the routes need. */
export interface CallerParts {
  readonly view: ConfigView;
  readonly gate: WorkGate;
  readonly limits: AdmissionLimits;
  readonly relay: ApplicationRelay;
  readonly claims: ClaimStore;
  readonly decisions: DecisionLog;
}

/** The deadline of an exchange: what the caller allows, at most what the service allows. */
export function contextOf(
  exchange: Exchange,
  serviceTimeoutMs: number,
): Result<RequestContext, CoordinationError> {
  const header = exchange.request.headers[TIMEOUT_HEADER];
  const asked = header === undefined ? serviceTimeoutMs : Number(header);
  if (!Number.isInteger(asked) || asked < 1 || asked > MAX_TIMEOUT_MS) {
    const message = `must be a whole number of milliseconds from 1 to ${MAX_TIMEOUT_MS}`;
    return err(new InvalidRequestError([{ field: TIMEOUT_HEADER, message }]));
  }
  const timeoutMs = Math.min(asked, serviceTimeoutMs);
  return ok({
    requestId: exchange.requestId,
    principal: exchange.principal,
    signal: AbortSignal.any([callerGone(exchange.response), AbortSignal.timeout(timeoutMs)]),
    deadlineMs: monotonicMs() + timeoutMs,
  });
}

/** Runs work within the limits of a service. */
export async function withinLimits<T>(
  parts: Pick<CallerParts, 'limits' | 'gate' | 'decisions'>,
  exchange: Exchange,
  service: ResourceOf<'Service'>,
  work: () => Promise<Result<T, CoordinationError>>,
): Promise<Result<T, CoordinationError>> {
  const open = parts.gate.check(service);
  if (open.isErr()) {
    noteRefusal(parts.decisions, exchange.requestId, open.error);
    return err(open.error);
  }
  const { identity } = exchange.principal;
  const reached = parts.limits.admit(service, identity);
  if (reached) {
    const refusal = new CoordinationError(
      'overloaded',
      'no',
      `${reached} of ${service.metadata.name}`,
      OVERLOAD_RETRY_MS,
    );
    noteRefusal(parts.decisions, exchange.requestId, refusal);
    return err(refusal);
  }
  try {
    return await work();
  } finally {
    parts.limits.release(service, identity);
  }
}

/** Records why a request was refused. */
export function noteRefusal(decisions: DecisionLog, requestId: string, error: CoordinationError): void {
  decisions.record({
    kind: 'refuse',
    subjects: [requestId],
    choice: `executed: ${error.executed}`,
    reason: error.code,
    inputs: { note: error.message },
  });
}

/** Routes of callers of application services. */
export function callerRoutes(parts: CallerParts): Route[] {
  return [
    {
      method: 'ALL',
      pattern: '/services/:service/*',
      roles: ['caller'],
      isWork: true,
      handler: (exchange) => relayToService(parts, exchange),
    },
  ];
}

async function relayToService(
  parts: CallerParts,
  exchange: Exchange,
): Promise<Result<void, CoordinationError>> {
  const name = exchange.params.service ?? '';
  const service = parts.view.get('Service', name);
  if (service?.spec.type !== 'application') {
    const open = parts.gate.check();
    return err(
      open.isErr() ? open.error : new CoordinationError('not-found', 'no', `no application service ${name}`),
    );
  }
  const context = contextOf(exchange, service.spec.limits?.timeoutMs ?? DEFAULT_TIMEOUT_MS);
  if (context.isErr()) return err(context.error);
  return withinLimits(parts, exchange, service, () => relayAdmitted(parts, exchange, service, context.value));
}

async function relayAdmitted(
  parts: CallerParts,
  exchange: Exchange,
  service: ResourceOf<'Service'>,
  context: RequestContext,
): Promise<Result<void, CoordinationError>> {
  const body = await readBody(
    exchange.request,
    service.spec.limits?.maxBodyBytes ?? DEFAULT_BODY_LIMIT_BYTES,
  );
  if (body.isErr()) return err(body.error);
  const request: ApplicationRequest = {
    service,
    method: exchange.request.method ?? 'GET',
    path: backendPath(exchange, service.metadata.name),
    headers: endToEndHeaders(exchange.request.headers),
    body: body.value,
  };
  const key = exchange.request.headers['idempotency-key'];
  const isKeyed = key !== undefined && !service.spec.repeatable;
  const outcome = isKeyed
    ? await relayKeyed(parts, exchange, context, request, String(key))
    : await relayUnkeyed(parts, exchange, context, request);
  if (outcome.isErr()) noteRefusal(parts.decisions, exchange.requestId, outcome.error);
  return outcome;
}

/** Path and query behind `/services/{service}`, as the caller wrote them. */
function backendPath(exchange: Exchange, service: string): string {
  const { pathname, search } = exchange.url;
  return `${pathname.slice(SERVICES_PREFIX.length + encodeURIComponent(service).length) || '/'}${search}`;
}

async function relayUnkeyed(
  parts: CallerParts,
  exchange: Exchange,
  context: RequestContext,
  request: ApplicationRequest,
): Promise<Result<void, CoordinationError>> {
  const answer = await parts.relay.dispatch(context, request);
  if (answer.isErr()) return err(answer.error);
  const { response, release, backend } = answer.value;
  try {
    if (!hasDeclaredEnd(response, request.method)) return err(undeclaredEnd(backend.name));
    writeRelayedHead(exchange.response, response, exchange.requestId);
    const copied = await copyBody(response.body, exchange.response);
    // A cut answer must not look complete: the connection is broken instead of ended.
    if (copied.isErr()) exchange.response.destroy();
    else exchange.response.end();
    return ok(undefined);
  } finally {
    response.body.destroy();
    release();
  }
}

function undeclaredEnd(backend: string): CoordinationError {
  return new CoordinationError(
    'backend-failed',
    'yes',
    `${backend} sent an answer whose end cannot be told from a cut`,
  );
}

/** A keyed request to a service that is not repeatable: claimed before it is dispatched. */
async function relayKeyed(
  parts: CallerParts,
  exchange: Exchange,
  context: RequestContext,
  request: ApplicationRequest,
  key: string,
): Promise<Result<void, CoordinationError>> {
  if (key.length === 0 || key.length > MAX_KEY_LENGTH) {
    const message = `must have 1 to ${MAX_KEY_LENGTH} characters`;
    return err(new InvalidRequestError([{ field: 'idempotency-key', message }]));
  }
  const claimed = await parts.claims.claim({
    service: request.service.metadata.name,
    identity: exchange.principal.identity,
    idempotencyKey: key,
    fingerprint: sha256Hex(`${request.method} ${request.path}\n${sha256Hex(request.body)}`),
    requestId: exchange.requestId,
  });
  // Nothing has been dispatched, whatever became of the claim.
  if (claimed.isErr()) {
    const { code, message, retryAfterMs } = fromState(claimed.error);
    return err(new CoordinationError(code, 'no', message, retryAfterMs));
  }
  const outcome = claimed.value;
  if (outcome.kind === 'answered') {
    sendRecorded(exchange, outcome.answer);
    return ok(undefined);
  }
  if (outcome.kind === 'dispatched') {
    const message = `request ${outcome.requestId} with this key has been dispatched and has no recorded outcome yet`;
    return err(new CoordinationError('in-progress', 'unknown', message, IN_PROGRESS_RETRY_MS));
  }
  if (outcome.kind === 'unknown') {
    const message = `the outcome of request ${outcome.requestId} with this key is not known`;
    return err(new CoordinationError('outcome-unknown', 'unknown', message));
  }
  return dispatchClaimed(parts, exchange, context, request, outcome.claim);
}

async function dispatchClaimed(
  parts: CallerParts,
  exchange: Exchange,
  context: RequestContext,
  request: ApplicationRequest,
  claim: HeldClaim,
): Promise<Result<void, CoordinationError>> {
  // The outcome is recorded whether or not the caller stays, so its leaving does not cancel the request.
  const staying = { ...context, signal: AbortSignal.timeout(Math.ceil(timeLeftMs(context)) + 1) };
  const answer = await parts.relay.dispatch(staying, request);
  if (answer.isErr()) {
    if (answer.error.executed === 'no') await parts.claims.release(claim);
    else await parts.claims.recordUnknown(claim);
    return err(answer.error);
  }
  const whole = await readAnswer(answer.value, request.method);
  if (whole.isErr()) {
    await parts.claims.recordUnknown(claim);
    return err(whole.error);
  }
  sendRecorded(exchange, whole.value);
  await parts.claims.recordAnswer(claim, whole.value);
  return ok(undefined);
}

async function readAnswer(
  answer: RelayedAnswer,
  method: string,
): Promise<Result<RecordedAnswer, CoordinationError>> {
  const { response, release, backend } = answer;
  try {
    if (!hasDeclaredEnd(response, method)) return err(undeclaredEnd(backend.name));
    const body = await readFully(response.body, RECORDED_BODY_LIMIT_BYTES);
    if (body.isErr()) {
      return err(
        new CoordinationError('outcome-unknown', 'unknown', `${backend.name}: ${body.error.message}`),
      );
    }
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(endToEndHeaders(response.headers)))
      headers[name] = String(value);
    return ok({ status: response.status, headers, body: body.value });
  } finally {
    release();
  }
}

function sendRecorded(exchange: Exchange, answer: RecordedAnswer): void {
  if (exchange.response.destroyed) return;
  exchange.response.writeHead(answer.status, {
    ...answer.headers,
    'content-length': answer.body.length.toString(),
    [REQUEST_ID_HEADER]: exchange.requestId,
  });
  exchange.response.end(answer.body);
}
