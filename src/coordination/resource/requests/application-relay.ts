/**
 * Relay of requests to application services, with the retry rule: a request is dispatched again only when its
 * service is repeatable, when no byte of it was sent, or when the back end answered that it did not admit it
 * (`isSafeToRetry`).
 *
 * Relies on: `Router` (back end), `WorkGate` (checked before each dispatch). When neither allows a dispatch,
 * or when `MAX_DISPATCHES` have failed, the caller gets the failure that says most about whether the request
 * has run.
 */
import type { ServerResponse } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { Metrics } from '../../../common/metrics.js';
import { NOT_ADMITTED_HEADER } from '../../../protocol/resource/engine.js';
import { retryAfterMs } from '../../../protocol/resource/json-exchange.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { BackendEntry } from '../../../state/resource/backends/index.js';
import type { DecisionLog } from '../../../state/resource/decision-log.js';
import type { HeaderMap, HttpClient, IncomingResponse } from '../../../transport/http-client.js';
import type { TransportError } from '../../../transport/transport-error.js';
import { CoordinationError, type CoordinationResult, worseOf } from '../coordination-error.js';
import { AT_CAPACITY_RETRY_MS, rejection } from './rejection.js';
import { isPastDeadline, type RequestContext, timeLeftMs } from './request-context.js';
import type { Route, Router } from './router.js';
import type { WorkGate } from './work-gate.js';

/** A request to relay; the body has been read whole. */
export interface ApplicationRequest {
  readonly service: ResourceOf<'Service'>;
  readonly method: string;
  /** Path and query behind the service's name. */
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Buffer;
}

/** The head of a back end's response; its body is not read yet. */
export interface RelayedAnswer {
  readonly backend: BackendEntry;
  readonly response: IncomingResponse;
  /** Must be called when the body has been read or discarded: it ends the count as in flight. */
  readonly release: () => void;
}

/** Dispatches of a request, the first one included. Chosen, not measured: bounds the load of retries. */
const MAX_DISPATCHES = 3;
/** Time by which the client's timeouts follow the deadline, milliseconds: the request's signal goes first. */
const AFTER_DEADLINE_MS = 100;

/**
 * Headers of one connection, and those that this node sets itself. Those of the platform's interface differ
 * (`platform/route-ingress.ts`): it drops what the `Connection` header lists, and forwards the caller's key
 * where no tenants are declared; here the bearer token is this node's own and is never forwarded.
 */
const HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'expect',
  'content-length',
  'authorization',
  'idempotency-key',
]);

/** The headers of a message that are forwarded. */
export function endToEndHeaders(headers: Record<string, string | string[] | undefined>): HeaderMap {
  const kept: HeaderMap = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !HOP_HEADERS.has(name)) kept[name] = value;
  }
  return kept;
}

/** Request header with the time until the deadline, milliseconds. */
export const TIMEOUT_HEADER = 'x-request-timeout-ms';
/** Request and response header with the request ID. */
export const REQUEST_ID_HEADER = 'x-request-id';

interface FailedAttempt {
  readonly failure: CoordinationError;
  readonly mayRetry: boolean;
}

/** Whether a failed request may be dispatched again: it is repeatable, or none of it was sent. */
function isSafeToRetry(service: ResourceOf<'Service'>, error: TransportError): boolean {
  return service.spec.repeatable || !error.requestSent;
}

/** Relays application requests. */
export class ApplicationRelay {
  constructor(
    private readonly router: Router,
    private readonly client: HttpClient,
    private readonly gate: WorkGate,
    private readonly decisions: DecisionLog,
    private readonly metrics: Metrics,
  ) {}

  /** Dispatches a request; resolves at the head of the response. The error says whether it has run. */
  async dispatch(context: RequestContext, request: ApplicationRequest): CoordinationResult<RelayedAnswer> {
    const excluded = new Set<string>();
    let failure: CoordinationError | undefined;
    for (let dispatch = 0; dispatch < MAX_DISPATCHES; dispatch += 1) {
      const open = this.gate.check(request.service);
      if (open.isErr()) return err(worseOf(failure, open.error));
      const route = this.choose(context, request, excluded);
      if (route.isErr()) return err(worseOf(failure, route.error));
      const attempt = await this.attempt(context, request, route.value);
      if (attempt.isOk()) return ok(attempt.value);
      failure = worseOf(failure, attempt.error.failure);
      if (!attempt.error.mayRetry) return err(failure);
      excluded.add(route.value.backend.name);
      this.noteRetry(context, route.value.backend, attempt.error.failure);
    }
    return err(failure ?? new CoordinationError('backend-failed', 'unknown', 'no back end answered'));
  }

  private choose(
    context: RequestContext,
    request: ApplicationRequest,
    excluded: ReadonlySet<string>,
  ): Result<Route, CoordinationError> {
    const route = this.router.choose({ service: request.service, excluded });
    const subjects = [context.requestId];
    if (route.isErr()) {
      const { reason, inputs } = route.error;
      this.decisions.record({ kind: 'refuse', subjects, choice: 'none', reason, inputs });
      return err(rejection(reason, `no back end of ${request.service.metadata.name} may take the request`));
    }
    const { backend, inputs } = route.value;
    this.decisions.record({
      kind: 'route',
      subjects,
      choice: backend.name,
      reason: 'two-random-choices',
      inputs,
    });
    return ok(route.value);
  }

  private async attempt(
    context: RequestContext,
    request: ApplicationRequest,
    route: Route,
  ): Promise<Result<RelayedAnswer, FailedAttempt>> {
    const { backend, release } = route;
    const { service } = request;
    const sent = await this.client.send({
      method: request.method,
      url: `${backend.declaration.spec.address}${request.path}`,
      headers: {
        ...request.headers,
        [REQUEST_ID_HEADER]: context.requestId,
        [TIMEOUT_HEADER]: Math.ceil(timeLeftMs(context)).toString(),
      },
      body: request.body.length > 0 ? request.body : undefined,
      signal: context.signal,
      headTimeoutMs: Math.ceil(timeLeftMs(context)) + AFTER_DEADLINE_MS,
      idleTimeoutMs: Math.ceil(timeLeftMs(context)) + AFTER_DEADLINE_MS,
      freshConnection: !service.spec.repeatable,
    });
    if (sent.isErr()) {
      release();
      return err(this.noteTransportFailure(context, service, backend, sent.error));
    }
    const response = sent.value;
    if (response.headers[NOT_ADMITTED_HEADER] === 'true') {
      release();
      response.body.resume();
      return err(this.noteNotAdmitted(service, backend, retryAfterMs(response.headers)));
    }
    backend.recordSuccess();
    this.metrics.attempts.inc({ service: service.metadata.name, outcome: 'answered' });
    return ok({ backend, response, release });
  }

  private noteNotAdmitted(
    service: ResourceOf<'Service'>,
    backend: BackendEntry,
    waitMs: number | undefined,
  ): FailedAttempt {
    this.metrics.attempts.inc({ service: service.metadata.name, outcome: 'not-admitted' });
    const message = `${backend.name} did not admit the request`;
    return { failure: new CoordinationError('backend-refused', 'no', message, waitMs), mayRetry: true };
  }

  private noteTransportFailure(
    context: RequestContext,
    service: ResourceOf<'Service'>,
    backend: BackendEntry,
    error: TransportError,
  ): FailedAttempt {
    this.metrics.attempts.inc({ service: service.metadata.name, outcome: error.failure });
    const executed = error.requestSent ? 'unknown' : 'no';
    const message = `${backend.name}: ${error.message}`;
    if (context.signal.aborted || isPastDeadline(context)) {
      const code = isPastDeadline(context) ? 'deadline-passed' : 'outcome-unknown';
      return { failure: new CoordinationError(code, executed, message), mayRetry: false };
    }
    backend.recordFailure(error.message);
    const code = error.requestSent ? 'outcome-unknown' : 'backend-failed';
    const failure = new CoordinationError(code, executed, message, AT_CAPACITY_RETRY_MS);
    return { failure, mayRetry: isSafeToRetry(service, error) };
  }

  private noteRetry(context: RequestContext, backend: BackendEntry, failure: CoordinationError): void {
    this.decisions.record({
      kind: 'retry',
      subjects: [context.requestId],
      choice: 'another back end',
      reason: failure.code,
      inputs: { note: `${backend.name}: ${failure.message}` },
    });
  }
}

/** Whether a complete response can be told from a cut one: it has a length, is chunked, or has no body. */
export function hasDeclaredEnd(response: IncomingResponse, method: string): boolean {
  const { status, headers } = response;
  if (method === 'HEAD' || status === 204 || status === 304) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** The error for a response without a declared end: the request has run. */
export function undeclaredEnd(backend: string): CoordinationError {
  const message = `${backend} sent an answer whose end cannot be told from a cut`;
  return new CoordinationError('backend-failed', 'yes', message);
}

/** Writes the head of a relayed response. */
export function writeRelayedHead(
  response: ServerResponse,
  answer: IncomingResponse,
  requestId: string,
): void {
  const headers = endToEndHeaders(answer.headers);
  const length = answer.headers['content-length'];
  if (length !== undefined) headers['content-length'] = length;
  response.writeHead(answer.status, { ...headers, [REQUEST_ID_HEADER]: requestId });
}
