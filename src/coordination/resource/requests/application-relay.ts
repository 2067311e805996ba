/**
 * Relays requests to application services. A request is retried only if its service is repeatable, no byte of
 * it was sent, or the back end answered that it did not admit it. The caller gets the last failure, unless an
 * earlier one leaves open whether the request ran.
 */
import type { ServerResponse } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import type { Metrics } from '../../../common/metrics.js';
import { NOT_ADMITTED_HEADER } from '../../../protocol/resource/engine.js';
import { retryAfterMs } from '../../../protocol/resource/json-exchange.js';
import type { ResourceOf } from '../../../protocol/resource/resource.js';
import type { BackendEntry } from '../../../state/resource/backends/index.js';
import type { DecisionLog } from '../../../state/resource/decision-log.js';
import {
  discardBody,
  type HeaderMap,
  type HttpClient,
  type IncomingResponse,
} from '../../../transport/http-client.js';
import type { TransportError } from '../../../transport/transport-error.js';
import { CoordinationError, type CoordinationResult, worseOf } from '../coordination-error.js';
import { AT_CAPACITY_RETRY_MS, rejection } from './rejection.js';
import { isPastDeadline, type RequestContext, timeLeftMs } from './request-context.js';
import type { Route, Router } from './router.js';
import type { WorkGate } from './work-gate.js';

export interface ApplicationRequest {
  readonly service: ResourceOf<'Service'>;
  readonly method: string;
  /** Path and query after the service name. */
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Buffer;
}

/** A response whose head was received; its body has not been read. */
export interface RelayedResponse {
  readonly backend: BackendEntry;
  readonly response: IncomingResponse;
  /** Must be called once the body is read or discarded; decrements the in-flight count of the back end. */
  readonly release: () => void;
}

/** Includes the first dispatch; bounds the load of retries. */
const MAX_DISPATCHES = 3;
/** Added to the HTTP client timeouts so that the request signal fires first. */
const DEADLINE_MARGIN_MS = 100;

/**
 * Hop-by-hop headers, and headers that this node sets or consumes. Unlike `platform/route-ingress.ts`, this
 * never forwards the bearer token, which authenticates the caller to this node.
 */
const UNFORWARDED_HEADERS = new Set([
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

export function endToEndHeaders(headers: Record<string, string | string[] | undefined>): HeaderMap {
  const kept: HeaderMap = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !UNFORWARDED_HEADERS.has(name)) kept[name] = value;
  }
  return kept;
}

/** Request header: time until the deadline, milliseconds. */
export const TIMEOUT_HEADER = 'x-request-timeout-ms';
export const REQUEST_ID_HEADER = 'x-request-id';

interface FailedAttempt {
  readonly failure: CoordinationError;
  readonly mayRetry: boolean;
}

function isSafeToRetry(service: ResourceOf<'Service'>, error: TransportError): boolean {
  return service.spec.repeatable || !error.requestSent;
}

export class ApplicationRelay {
  constructor(
    private readonly router: Router,
    private readonly client: HttpClient,
    private readonly gate: WorkGate,
    private readonly decisions: DecisionLog,
    private readonly metrics: Metrics,
  ) {}

  /** Resolves when the response head is received. The error states whether the request ran. */
  async dispatch(context: RequestContext, request: ApplicationRequest): CoordinationResult<RelayedResponse> {
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
      this.recordRetry(context, route.value.backend, attempt.error.failure);
    }
    return err(failure ?? new CoordinationError('backend-failed', 'unknown', 'no back end responded'));
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
      return err(rejection(reason, `no eligible back end of service ${request.service.metadata.name}`));
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
  ): Promise<Result<RelayedResponse, FailedAttempt>> {
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
      headTimeoutMs: Math.ceil(timeLeftMs(context)) + DEADLINE_MARGIN_MS,
      idleTimeoutMs: Math.ceil(timeLeftMs(context)) + DEADLINE_MARGIN_MS,
      freshConnection: !service.spec.repeatable,
    });
    if (sent.isErr()) {
      release();
      return err(this.recordTransportFailure(context, service, backend, sent.error));
    }
    const response = sent.value;
    if (response.headers[NOT_ADMITTED_HEADER] === 'true') {
      release();
      void discardBody(response.body);
      return err(this.recordNotAdmitted(service, backend, retryAfterMs(response.headers)));
    }
    backend.recordSuccess();
    this.metrics.attempts.inc({ service: service.metadata.name, outcome: 'answered' });
    return ok({ backend, response, release });
  }

  private recordNotAdmitted(
    service: ResourceOf<'Service'>,
    backend: BackendEntry,
    waitMs: number | undefined,
  ): FailedAttempt {
    this.metrics.attempts.inc({ service: service.metadata.name, outcome: 'not-admitted' });
    const message = `${backend.name} did not admit the request`;
    return { failure: new CoordinationError('backend-refused', 'no', message, waitMs), mayRetry: true };
  }

  private recordTransportFailure(
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

  private recordRetry(context: RequestContext, backend: BackendEntry, failure: CoordinationError): void {
    this.decisions.record({
      kind: 'retry',
      subjects: [context.requestId],
      choice: 'another back end',
      reason: failure.code,
      inputs: { note: `${backend.name}: ${failure.message}` },
    });
  }
}

/** Whether truncation can be detected: the response has a length, is chunked, or has no body. */
export function isSelfDelimited(response: IncomingResponse, method: string): boolean {
  const { status, headers } = response;
  if (method === 'HEAD' || status === 204 || status === 304) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Error for a response that ends when the connection closes; the request has run. */
export function closeDelimitedError(backend: string): CoordinationError {
  const message = `${backend} sent a response without Content-Length or Transfer-Encoding`;
  return new CoordinationError('backend-failed', 'yes', message);
}

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
