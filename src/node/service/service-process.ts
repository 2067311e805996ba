/**
 * The process of a serving node: its listeners, signals and process metrics. A request whose handler fails is
 * answered 500 and logged; an uncaught exception is logged and ends the process; SIGTERM and SIGINT drain the
 * node first.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { MILLISECONDS_PER_SECOND, monotonicMs } from '../../common/clock.js';
import type { StandardOutputLogger } from '../../common/decision-logger.js';
import type { ServiceMetrics } from '../../common/service-metrics.js';
import type { CallerLimits } from '../../protocol/service/routing-configuration.js';
import type { ServiceSettings } from '../../protocol/service/service-settings.js';
import { type ConnectionSettings, HttpServer, sendJson } from '../../transport/http-server.js';
import { resetUnansweredRequests } from '../../transport/unanswered-requests.js';
import { connectionLimitsOf } from '../machine-limits.js';
import { PeerEndpoint } from './peer-endpoint.js';
import type { ServiceNode } from './service-node.js';
import { ShortageReports } from './shortage-reports.js';

/** Limits of the callers' listener. */
const MAX_HEADER_BYTES = 64 * 1024;
const REQUEST_TIMEOUT_MS = 60_000;
/** Maximum connections to the readiness listener, and to that of the metrics. */
const OPERATOR_CONNECTIONS = 32;
const LOOP_DELAY_INTERVAL_MS = 500;
/** Longer delays of the event loop are logged as a process pause. */
const LOGGED_LOOP_DELAY_MS = 400;
/** Idle connections stay open this much longer than callers may reuse them. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
/** Counted by the parser with the header fields. */
const REQUEST_LINE_BYTES = 1_024;
/** Longer than the keep-alive of the peers' clients (45 s), so that a connection they reuse is still open. */
const PEER_KEEP_ALIVE_MS = 60_000;

export interface ServiceProcessDependencies {
  readonly node: ServiceNode;
  readonly settings: () => ServiceSettings;
  readonly metrics: ServiceMetrics;
  readonly logger: StandardOutputLogger;
  readonly readyPath: string;
  /** Metrics are not served without it. */
  readonly metricsPort: number | undefined;
  readonly serve: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
  /** Reloads and applies the settings; throws when they are invalid. */
  readonly reload: () => { settings: ServiceSettings; unusedFields: number };
}

/** A caller's request whose response has not been sent. */
interface OpenExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Settings that take effect without a restart. */
const RELOADABLE_SETTINGS = ['stopGraceMs', 'configurationBoundMs', 'leaseMs', 'resultRetentionMs'] as const;

/** Describes each reloadable setting that differs. */
function describeChanges(before: ServiceSettings, after: ServiceSettings): string[] {
  return RELOADABLE_SETTINGS.filter((name) => before[name] !== after[name]).map(
    (name) => `${name} ${before[name]} to ${after[name]}`,
  );
}

function connectionSettingsOf(limits: CallerLimits): ConnectionSettings {
  return {
    keepAliveTimeoutMs: limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS,
    headersTimeoutMs: limits.headerTimeoutMs,
    maxHeaderBytes: limits.maxHeaderBytes + REQUEST_LINE_BYTES,
  };
}

/** Makes the caller send its next request on another connection, which load balancers pass to another node. */
function closeAfterResponse({ response }: OpenExchange): void {
  if (!response.headersSent) response.setHeader('connection', 'close');
}

/** Answers a request that is still open when the process exits. Nothing runs before its body is whole. */
function answerAtExit({ request, response }: OpenExchange): void {
  sendJson(response, request.complete ? 504 : 503, { error: 'the node is stopping' });
}

export class ServiceProcess {
  private readonly callers: HttpServer;
  private readonly readiness: HttpServer;
  private readonly peers: HttpServer;
  private readonly shortages: readonly ShortageReports[];
  private readonly openExchanges = new Set<OpenExchange>();
  private lastLoopCheckMs = monotonicMs();

  constructor(private readonly dependencies: ServiceProcessDependencies) {
    const fallbacks = {
      notFound: (request: IncomingMessage, response: ServerResponse) => this.serveCaller(request, response),
      failed: (cause: unknown, _request: IncomingMessage, response: ServerResponse) =>
        this.answerFailure(cause, response),
    };
    const { budget } = dependencies.node;
    const { maxDescriptors, memoryBytes } = dependencies.settings();
    const maxConnections = connectionLimitsOf(maxDescriptors, memoryBytes);
    this.callers = new HttpServer(fallbacks, {
      maxHeaderBytes: MAX_HEADER_BYTES,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      maxConnections: maxConnections.callers,
      budget,
    });
    const notFound = async (_: IncomingMessage, response: ServerResponse) => sendJson(response, 404, {});
    const operators = { maxConnections: OPERATOR_CONNECTIONS };
    this.readiness = new HttpServer({ ...fallbacks, notFound }, operators);
    this.readiness.route('GET', dependencies.readyPath, async (_, response) =>
      this.answerReadinessCheck(response),
    );
    this.peers = new HttpServer(
      { ...fallbacks, notFound },
      { keepAliveTimeoutMs: PEER_KEEP_ALIVE_MS, maxConnections: maxConnections.peers, budget },
    );
    new PeerEndpoint(dependencies.node).register(this.peers);
    const { logger } = dependencies;
    this.shortages = [
      new ShortageReports('bytes for callers', () => budget.givenUpCount, logger),
      new ShortageReports('connections of callers', () => this.callers.replacedConnections, logger),
    ];
  }

  /** Serves until a signal ends the process; `detail` is logged at the start. */
  async run(detail: string): Promise<void> {
    const { node, logger, metricsPort } = this.dependencies;
    this.handleSignals();
    const { ingress, readiness } = this.dependencies.settings();
    const readinessPort = await this.readiness.listen(readiness.host, readiness.port);
    const ingressPort = await this.callers.listen(ingress.host, ingress.port);
    const peerPort = await this.peers.listen(ingress.host, this.dependencies.settings().peerPort);
    node.start(`${ingress.host}:${ingressPort}`, `${ingress.host}:${peerPort}`);
    const metrics = metricsPort === undefined ? 0 : await this.serveMetrics(ingress.host, metricsPort);
    setInterval(() => this.measureLoopDelay(), LOOP_DELAY_INTERVAL_MS).unref();
    logger.record({
      event: 'process-started',
      ingress: `${ingress.host}:${ingressPort}`,
      readiness: `${readiness.host}:${readinessPort}`,
      metrics: `${ingress.host}:${metrics}`,
      detail,
    });
  }

  private async serveCaller(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { node, serve } = this.dependencies;
    const exchange = { request, response };
    if (node.isLeaving) closeAfterResponse(exchange);
    this.openExchanges.add(exchange);
    try {
      await node.requests.track(() => serve(request, response));
    } finally {
      this.openExchanges.delete(exchange);
    }
  }

  private answerReadinessCheck(response: ServerResponse): void {
    const { isReady } = this.dependencies.node;
    sendJson(response, isReady ? 200 : 503, { ready: isReady });
  }

  private answerFailure(cause: unknown, response: ServerResponse): void {
    const detail = cause instanceof Error ? (cause.stack ?? cause.message) : String(cause);
    this.dependencies.logger.record({
      event: 'process-changed',
      change: 'request handler failed',
      detail,
    });
    if (!response.headersSent) sendJson(response, 500, { error: 'internal error' });
    else response.destroy();
  }

  private serveMetrics(host: string, port: number): Promise<number> {
    const server = new HttpServer(
      {
        notFound: async (_, response) => sendJson(response, 404, {}),
        failed: (cause, _, response) => this.answerFailure(cause, response),
      },
      { maxConnections: OPERATOR_CONNECTIONS },
    );
    server.route('GET', '/metrics', async (_, response) => {
      this.measureProcess();
      const text = await this.dependencies.metrics.registry.metrics();
      response.writeHead(200, { 'content-type': this.dependencies.metrics.registry.contentType });
      response.end(text);
    });
    return server.listen(host, port);
  }

  private measureProcess(): void {
    const { metrics, logger, node } = this.dependencies;
    metrics.memory.set({}, process.memoryUsage.rss());
    metrics.droppedLines.set({}, logger.droppedLines);
    metrics.heldBytes.set({}, node.budget.heldBytes);
    metrics.givenUpHoldings.set({}, node.budget.givenUpCount);
    metrics.replacedConnections.set({}, this.callers.replacedConnections);
    node.measure();
  }

  private measureLoopDelay(): void {
    const now = monotonicMs();
    const delayMs = now - this.lastLoopCheckMs - LOOP_DELAY_INTERVAL_MS;
    this.lastLoopCheckMs = now;
    this.dependencies.metrics.loopDelay.set({}, Math.max(0, delayMs) / MILLISECONDS_PER_SECOND);
    if (delayMs > LOGGED_LOOP_DELAY_MS)
      this.dependencies.logger.record({
        event: 'process-changed',
        change: 'process paused',
        detail: `${Math.round(delayMs)} ms`,
      });
    for (const reports of this.shortages) reports.check();
    const limits = this.dependencies.node.routing.current?.limits;
    if (limits) this.callers.setLimits(connectionSettingsOf(limits));
  }

  private handleSignals(): void {
    process.on('SIGTERM', () => void this.stop('SIGTERM'));
    process.on('SIGINT', () => void this.stop('SIGINT'));
    process.on('SIGHUP', () => this.reload());
    process.on('unhandledRejection', (cause) => this.logFailure('unhandled rejection', cause));
    process.on('uncaughtException', (cause) => {
      this.logFailure('uncaught exception', cause);
      void this.exit(1);
    });
  }

  private logFailure(change: string, cause: unknown): void {
    const detail = cause instanceof Error ? (cause.stack ?? cause.message) : String(cause);
    this.dependencies.logger.record({ event: 'process-changed', change, detail });
  }

  private reload(): void {
    try {
      const before = this.dependencies.settings();
      const { settings, unusedFields } = this.dependencies.reload();
      const detail = [...describeChanges(before, settings), `${unusedFields} unused fields`].join(', ');
      this.dependencies.logger.record({ event: 'process-changed', change: 'settings read again', detail });
    } catch (cause) {
      this.logFailure('invalid settings, previous ones kept', cause);
    }
  }

  private async stop(signal: string): Promise<void> {
    const { node, logger } = this.dependencies;
    if (node.isLeaving) return;
    logger.record({ event: 'process-changed', change: 'stopping', detail: signal });
    const drained = node.drain(this.callers);
    for (const exchange of this.openExchanges) closeAfterResponse(exchange);
    await drained;
    for (const exchange of this.openExchanges) answerAtExit(exchange);
    const detail = `${node.requests.endedEarlyCount} requests ended early`;
    logger.record({ event: 'process-changed', change: 'stopped', detail });
    await this.exit(0);
  }

  private async exit(code: number): Promise<void> {
    await this.dependencies.logger.close();
    resetUnansweredRequests();
    this.callers.resetUnsent();
    process.exit(code);
  }
}
