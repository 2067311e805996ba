/**
 * Routes of callers of application services: limits, deadline, relay. A response that is cut breaks the
 * caller's connection, so that it never looks complete. Requests with an Idempotency-Key go through
 * `keyed-relay.ts`.
 */
import { err, ok, type Result } from 'neverthrow';
import { monotonicMs } from '../../../common/clock.js';
import {
  CoordinationError,
  type CoordinationResult,
} from '../../../coordination/resource/coordination-error.js';
import type { WorkGate } from '../../../coordination/resource/requests/index.js';
import {
  type ApplicationRequest,
  closeDelimitedError,
  endToEndHeaders,
  isSelfDelimited,
  type RequestContext,
  TIMEOUT_HEADER,
  writeRelayedHead,
} from '../../../coordination/resource/requests/index.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { AdmissionLimits } from '../../../state/resource/backends/index.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { DecisionLog } from '../../../state/resource/decision-log.js';
import { abandonBody } from '../../../transport/http-client.js';
import { disconnectSignal } from '../../../transport/http-server.js';
import { copyBody } from '../../../transport/stream-write.js';
import type { Route } from './api-server.js';
import { type Exchange, InvalidRequestError, readBody } from './exchange.js';
import { type KeyedRelayParts, relayKeyed } from './keyed-relay.js';

// Chosen, not measured; bytes and milliseconds. Defaults are for services that declare no limit.
const DEFAULT_BODY_LIMIT_BYTES = 1024 * 1024;
const DEFAULT_TIMEOUT_MS = 30_000;
const MAX_TIMEOUT_MS = 30 * 60 * 1_000;
const OVERLOAD_RETRY_MS = 1_000;
const SERVICES_PREFIX = '/services/';

/** Dependencies of the routes. */
export interface CallerParts extends KeyedRelayParts {
  readonly view: ConfigView;
  readonly gate: WorkGate;
  readonly limits: AdmissionLimits;
  readonly decisions: DecisionLog;
}

/** The context of an exchange: its deadline is the caller's timeout, at most that of the service. */
export function contextOf(
  exchange: Exchange,
  serviceTimeoutMs: number,
): Result<RequestContext, CoordinationError> {
  const header = exchange.request.headers[TIMEOUT_HEADER];
  const requested = header === undefined ? serviceTimeoutMs : Number(header);
  if (!Number.isInteger(requested) || requested < 1 || requested > MAX_TIMEOUT_MS) {
    const message = `must be a whole number of milliseconds from 1 to ${MAX_TIMEOUT_MS}`;
    return err(new InvalidRequestError([{ field: TIMEOUT_HEADER, message }]));
  }
  const timeoutMs = Math.min(requested, serviceTimeoutMs);
  return ok({
    requestId: exchange.requestId,
    principal: exchange.principal,
    signal: AbortSignal.any([disconnectSignal(exchange.response), AbortSignal.timeout(timeoutMs)]),
    deadlineMs: monotonicMs() + timeoutMs,
  });
}

/** Runs work within the limits of a service. Error `overloaded`: a limit is reached, the work has not run. */
export async function withinLimits<T>(
  parts: Pick<CallerParts, 'limits' | 'gate' | 'decisions'>,
  exchange: Exchange,
  service: ResourceOf<'Service'>,
  work: () => CoordinationResult<T>,
): CoordinationResult<T> {
  const open = parts.gate.check(service);
  if (open.isErr()) {
    noteRejection(parts.decisions, exchange.requestId, open.error);
    return err(open.error);
  }
  const { identity } = exchange.principal;
  const reached = parts.limits.admit(service, identity);
  if (reached) {
    const rejection = new CoordinationError(
      'overloaded',
      'no',
      `${reached} of ${service.metadata.name}`,
      OVERLOAD_RETRY_MS,
    );
    noteRejection(parts.decisions, exchange.requestId, rejection);
    return err(rejection);
  }
  try {
    return await work();
  } finally {
    parts.limits.release(service, identity);
  }
}

/** Records why a request was rejected. */
export function noteRejection(decisions: DecisionLog, requestId: string, error: CoordinationError): void {
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

async function relayToService(parts: CallerParts, exchange: Exchange): CoordinationResult<void> {
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
): CoordinationResult<void> {
  const body = await readBody(exchange, service.spec.limits?.maxBodyBytes ?? DEFAULT_BODY_LIMIT_BYTES);
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
  if (outcome.isErr()) noteRejection(parts.decisions, exchange.requestId, outcome.error);
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
): CoordinationResult<void> {
  const answer = await parts.relay.dispatch(context, request);
  if (answer.isErr()) return err(answer.error);
  const { response, release, backend } = answer.value;
  try {
    if (!isSelfDelimited(response, request.method)) return err(closeDelimitedError(backend.name));
    writeRelayedHead(exchange.response, response, exchange.requestId);
    const copied = await copyBody(response.body, exchange.response);
    // A cut response must not look complete: the connection is destroyed instead of ended.
    if (copied.isErr()) exchange.response.destroy();
    else exchange.response.end();
    return ok(undefined);
  } finally {
    abandonBody(response.body);
    release();
  }
}
