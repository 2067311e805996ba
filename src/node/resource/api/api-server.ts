/**
 * The node's HTTP interface: authentication, roles, rejections and metrics around the handlers, and the count
 * of work in flight for which a planned stop waits. A handler that throws is logged and answered as
 * `internal`.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { monotonicMs } from '../../../common/clock.js';
import { newRequestId } from '../../../common/identifier.js';
import type { Logger } from '../../../common/logging.js';
import type { Metrics } from '../../../common/metrics.js';
import {
  CoordinationError,
  type CoordinationResult,
} from '../../../coordination/resource/coordination-error.js';
import type { Role } from '../../../protocol/resource/resource.js';
import type { AccessControl, Principal } from '../../../state/resource/configuration/index.js';
import { HttpServer } from '../../../transport/http-server.js';
import type { MemoryBudget } from '../../../transport/memory-budget.js';
import { type Exchange, sendProblem } from './exchange.js';

/** Handles an exchange: it has responded, or returns the rejection to send. */
export type ApiHandler = (exchange: Exchange) => CoordinationResult<void>;

/** A route of the interface. */
export interface Route {
  readonly method: 'ALL' | 'GET' | 'PUT' | 'POST' | 'PATCH' | 'DELETE';
  readonly pattern: string;
  /** Any of these roles may use it; none means that no token is required. */
  readonly roles: readonly Role[];
  /** Whether it is new work, which a leaving node rejects. Peers and health checks are still answered. */
  readonly isWork: boolean;
  readonly handler: ApiHandler;
}

/** Retry-After while the node leaves, milliseconds. Chosen, not measured: the retry goes to another node. */
const LEAVING_RETRY_MS = 1_000;

const ANYONE: Principal = { identity: 'anonymous', roles: [] };

/** Dependencies of the interface. */
export interface ApiServerParts {
  readonly nodeId: string;
  readonly access: AccessControl;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly isLeaving: () => boolean;
  readonly budget: MemoryBudget;
}

/** The interface of one node. */
export class ApiServer {
  readonly http: HttpServer;
  private workInFlight = 0;
  private readonly idleListeners = new Set<() => void>();

  constructor(private readonly parts: ApiServerParts) {
    const fallbacks = {
      notFound: (request: IncomingMessage, response: ServerResponse) =>
        this.answerNotFound(request, response),
      failed: (cause: unknown, request: IncomingMessage, response: ServerResponse) =>
        this.answerFailed(cause, request, response),
    };
    this.http = new HttpServer(fallbacks, { budget: parts.budget });
  }

  /** Adds routes. */
  addRoutes(routes: readonly Route[]): void {
    for (const route of routes) {
      this.http.route(route.method, route.pattern, (request, response) =>
        this.serve(route, request, response),
      );
    }
  }

  /** Resolves when no work is in flight. */
  whenIdle(): Promise<void> {
    if (this.workInFlight === 0) return Promise.resolve();
    return new Promise((resolve) => this.idleListeners.add(resolve));
  }

  private async serve(route: Route, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = newRequestId(this.parts.nodeId);
    const startedAt = monotonicMs();
    response.once('close', () => this.count(route, response, startedAt));
    const principal = this.authorize(route, request);
    if (principal instanceof CoordinationError) {
      this.reject(response, principal, requestId);
      return;
    }
    if (route.isWork && this.parts.isLeaving()) {
      this.reject(
        response,
        new CoordinationError('leaving', 'no', 'this node is leaving', LEAVING_RETRY_MS),
        requestId,
      );
      return;
    }
    const exchange = {
      request,
      response,
      requestId,
      principal,
      budget: this.parts.budget,
      url: toUrl(request),
      params: paramsOf(request),
    };
    if (!route.isWork) {
      await this.handle(route, exchange);
      return;
    }
    this.beginWork();
    response.once('close', () => this.endWork());
    await this.handle(route, exchange);
  }

  private async handle(route: Route, exchange: Exchange): Promise<void> {
    const outcome = await route.handler(exchange);
    if (outcome.isErr()) this.reject(exchange.response, outcome.error, exchange.requestId);
  }

  private authorize(route: Route, request: IncomingMessage): Principal | CoordinationError {
    if (route.roles.length === 0) return ANYONE;
    const principal = this.parts.access.authenticate(request.headers.authorization);
    if (!principal) return new CoordinationError('unauthenticated', 'no', 'a known bearer token is required');
    if (route.roles.some((role) => principal.roles.includes(role))) return principal;
    return new CoordinationError('forbidden', 'no', `one of the roles ${route.roles.join(', ')} is required`);
  }

  private reject(response: ServerResponse, error: CoordinationError, requestId: string): void {
    this.parts.metrics.refusals.inc({ code: error.code });
    sendProblem(response, error, requestId);
  }

  private beginWork(): void {
    this.workInFlight += 1;
    this.parts.metrics.inFlight.set(this.workInFlight);
  }

  private endWork(): void {
    this.workInFlight -= 1;
    this.parts.metrics.inFlight.set(this.workInFlight);
    if (this.workInFlight > 0) return;
    for (const listener of this.idleListeners) listener();
    this.idleListeners.clear();
  }

  private count(route: Route, response: ServerResponse, startedAt: number): void {
    const label = `${route.method} ${route.pattern}`;
    this.parts.metrics.requests.inc({ route: label, status: response.statusCode.toString() });
    this.parts.metrics.latency.observe({ route: label }, (monotonicMs() - startedAt) / 1_000);
  }

  private async answerNotFound(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = newRequestId(this.parts.nodeId);
    const message = `nothing answers ${request.method} ${toUrl(request).pathname}`;
    this.reject(response, new CoordinationError('not-found', 'no', message), requestId);
  }

  private answerFailed(cause: unknown, request: IncomingMessage, response: ServerResponse): void {
    this.parts.logger.warn('handler failed', {
      path: request.url ?? '',
      reason: String((cause as Error)?.stack ?? cause),
    });
    const error = new CoordinationError('internal', 'unknown', 'the node failed to handle the request');
    if (response.headersSent) response.destroy();
    else this.reject(response, error, newRequestId(this.parts.nodeId));
  }
}

function toUrl(request: IncomingMessage): URL {
  // Only path and query are used; the host is a placeholder that makes the text a URL.
  const target = (request as { originalUrl?: string }).originalUrl ?? request.url ?? '/';
  return new URL(target.startsWith('/') ? `http://node${target}` : 'http://node/');
}

function paramsOf(request: IncomingMessage): Record<string, string> {
  const params = (request as { params?: Record<string, string> }).params ?? {};
  return Object.fromEntries(Object.entries(params).map(([name, value]) => [name, decode(value)]));
}

function decode(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    // Malformed percent-encoding: the text as sent names no resource, so the handler answers `not-found` or
    // `invalid`.
    return text;
  }
}
