/**
 * Relay of requests to application services. A request to a service that is not repeatable is dispatched once: a
 * second dispatch happens only when it is certain that no byte of the first one reached a back end, or when the
 * back end itself said that it did not admit it.
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
import { CoordinationError, worseOf } from '../coordination-error.js';
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

/** The head of a back end's answer, with its body still to be read. */
export interface RelayedAnswer {
  readonly backend: BackendEntry;
  readonly response: IncomingResponse;
  /** Must be called once the body has been read or dropped. */
  readonly release: () => void;
}

/** Dispatches of a repeatable request at most. */
const MAX_DISPATCHES = 3;
const AT_CAPACITY_RETRY_MS = 500;
const NO_BACKEND_RETRY_MS = 2_000;
/** The signal of a request ends its exchange at the deadline; the limits of the client lie this much later, milliseconds. */
const AFTER_DEADLINE_MS = 100;

/** Headers that concern one connection only, and those that this hop sets itself. */
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

/** Headers of a message without those of the hop. */
export function endToEndHeaders(headers: Record<string, string | string[] | undefined>): HeaderMap {
  const kept: HeaderMap = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !HOP_HEADERS.has(name)) kept[name] = value;
  }
  return kept;
}

/** Header by which the time left is passed on, milliseconds. */
export const TIMEOUT_HEADER = 'x-request-timeout-ms';
/** Header that names the request on both sides. */
export const REQUEST_ID_HEADER = 'x-request-id';

interface Attempt {
  readonly failure: CoordinationError;
  readonly mayRetry: boolean;
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

  /** Dispatches a request; resolves at the head of the answer. */
  async dispatch(
    context: RequestContext,
    request: ApplicationRequest,
  ): Promise<Result<RelayedAnswer, CoordinationError>> {
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
      const isFull = reason === 'at-capacity';
      const wait = isFull ? AT_CAPACITY_RETRY_MS : NO_BACKEND_RETRY_MS;
      const message = `no back end of ${request.service.metadata.name} may take the request`;
      return err(new CoordinationError(isFull ? 'overloaded' : 'no-backend', 'no', message, wait));
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
  ): Promise<Result<RelayedAnswer, Attempt>> {
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
      return err(this.transportAttempt(context, service, backend, sent.error));
    }
    const response = sent.value;
    if (response.headers[NOT_ADMITTED_HEADER] === 'true') {
      release();
      response.body.resume();
      this.metrics.attempts.inc({ service: service.metadata.name, outcome: 'not-admitted' });
      const wait = retryAfterMs(response.headers);
      const failure = new CoordinationError(
        'backend-refused',
        'no',
        `${backend.name} did not admit the request`,
        wait,
      );
      return err({ failure, mayRetry: true });
    }
    backend.noteSuccess();
    this.metrics.attempts.inc({ service: service.metadata.name, outcome: 'answered' });
    return ok({ backend, response, release });
  }

  private transportAttempt(
    context: RequestContext,
    service: ResourceOf<'Service'>,
    backend: BackendEntry,
    error: TransportError,
  ): Attempt {
    this.metrics.attempts.inc({ service: service.metadata.name, outcome: error.failure });
    const executed = error.requestSent ? 'unknown' : 'no';
    const message = `${backend.name}: ${error.message}`;
    if (context.signal.aborted || isPastDeadline(context)) {
      const code = isPastDeadline(context) ? 'deadline-passed' : 'outcome-unknown';
      return { failure: new CoordinationError(code, executed, message), mayRetry: false };
    }
    backend.noteFailure(error.message);
    const code = error.requestSent ? 'outcome-unknown' : 'backend-failed';
    const failure = new CoordinationError(code, executed, message, AT_CAPACITY_RETRY_MS);
    return { failure, mayRetry: !error.requestSent || service.spec.repeatable };
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

/** Whether the end of an answer can be told from a cut: its length is declared, or it is chunked, or it has no body. */
export function hasDeclaredEnd(response: IncomingResponse, method: string): boolean {
  const { status, headers } = response;
  if (method === 'HEAD' || status === 204 || status === 304) return true;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Writes the head of a relayed answer. */
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
