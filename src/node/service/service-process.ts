/** The process of a serving node: its listeners, its signals, and what it measures of itself. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setImmediate } from 'node:timers/promises';
import { monotonicMs } from '../../common/clock.js';
import type { StandardOutputLogger } from '../../common/decision-logger.js';
import type { ServiceMetrics } from '../../common/service-metrics.js';
import { CONFIGURATION_PATH, NEWER_THAN } from '../../protocol/service/configuration-peer.js';
import {
  CRASH_REPORTS_PATH,
  MAX_MESSAGE_BYTES,
  parseCrashReports,
} from '../../protocol/service/crash-report-peer.js';
import {
  DISPATCH_PATH,
  MAX_DISPATCH_BYTES,
  parseDispatch,
  renderDispatchOutcome,
} from '../../protocol/service/dispatch-peer.js';
import type { ServiceSettings } from '../../protocol/service/service-settings.js';
import { callerGone, HttpServer, readRequestBody, sendJson } from '../../transport/http-server.js';
import type { ServiceNode } from './service-node.js';

const MAX_HEADER_BYTES = 64 * 1024;
const REQUEST_TIMEOUT_MS = 60_000;
const PULSE_MS = 500;
/** A pulse that comes this much late is logged: the process stood still, milliseconds. */
const STANDSTILL_MS = 400;
/**
 * Turns of the event loop between reading another node's request and dispatching it. After a process pause the request may have lain in the
 * socket buffer for long, followed by the end of its connection, which is read in the next turn: its caller has left, and it must not be sent.
 * Two were enough in 6 of 6 runs of the test; one more is a spare. Costs well below a millisecond.
 */
const READ_AHEAD_TURNS = 3;
const MILLISECONDS_PER_SECOND = 1000;
/** Kept longer than callers may reuse an idle connection, milliseconds. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
/** How long an idle connection of another node is kept, milliseconds. */
const PEER_KEEP_ALIVE_MS = 60_000;

/** What the process works with. */
export interface ServiceProcessParts {
  readonly node: ServiceNode;
  readonly settings: () => ServiceSettings;
  readonly metrics: ServiceMetrics;
  readonly logger: StandardOutputLogger;
  /** Path of the question whether the node is ready. */
  readonly readyPath: string;
  /** Port of the metrics; none are served without it. */
  readonly metricsPort: number | undefined;
  readonly serve: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
  /** Reads the settings again and puts them in force; throws when they are wrong. */
  readonly reload: () => { settings: ServiceSettings; unusedFields: number };
}

async function turnsOfEventLoop(count: number): Promise<void> {
  for (let turns = 0; turns < count; turns += 1) await setImmediate();
}

/** Settings that take effect while the process runs. */
const RELOADABLE = ['stopGraceMs', 'configurationBoundMs', 'leaseMs', 'resultRetentionMs'] as const;

/** What a new reading of the settings changes, one text a setting. */
function changedSettings(before: ServiceSettings, after: ServiceSettings): string[] {
  return RELOADABLE.filter((name) => before[name] !== after[name]).map(
    (name) => `${name} ${before[name]} to ${after[name]}`,
  );
}

/** Runs a node in this process. */
export class ServiceProcess {
  private readonly callers: HttpServer;
  private readonly readiness: HttpServer;
  /** Answers other nodes. */
  private readonly peers: HttpServer;
  private lastPulseMs = monotonicMs();

  constructor(private readonly parts: ServiceProcessParts) {
    const fallbacks = {
      notFound: (request: IncomingMessage, response: ServerResponse) => this.serveCaller(request, response),
      failed: (cause: unknown, _request: IncomingMessage, response: ServerResponse) =>
        this.fail(cause, response),
    };
    this.callers = new HttpServer(fallbacks, {
      maxHeaderBytes: MAX_HEADER_BYTES,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
    });
    this.readiness = new HttpServer({
      ...fallbacks,
      notFound: async (_, response) => sendJson(response, 404, {}),
    });
    this.readiness.route('GET', parts.readyPath, async (_, response) => this.answerReady(response));
    this.peers = new HttpServer(
      { ...fallbacks, notFound: async (_, response) => sendJson(response, 404, {}) },
      { keepAliveTimeoutMs: PEER_KEEP_ALIVE_MS },
    );
    this.peers.route('POST', DISPATCH_PATH, (request, response) =>
      this.parts.node.track(() => this.dispatchForPeer(request, response)),
    );
    this.peers.route('GET', CONFIGURATION_PATH, async (request, response) =>
      this.answerPeer(request, response),
    );
    this.peers.route('POST', CRASH_REPORTS_PATH, (request, response) =>
      this.exchangeCrashReports(request, response),
    );
  }

  /** Listens and serves until a signal ends the process. */
  async run(detail: string): Promise<void> {
    const { node, logger, metricsPort } = this.parts;
    this.handleSignals();
    const { ingress, readiness } = this.parts.settings();
    const readinessPort = await this.readiness.listen(readiness.host, readiness.port);
    const ingressPort = await this.callers.listen(ingress.host, ingress.port);
    const peerPort = await this.peers.listen(ingress.host, this.parts.settings().peerPort);
    node.start(`${ingress.host}:${ingressPort}`, `${ingress.host}:${peerPort}`);
    const metrics = metricsPort === undefined ? 0 : await this.serveMetrics(ingress.host, metricsPort);
    setInterval(() => this.pulse(), PULSE_MS).unref();
    logger.record({
      event: 'process-started',
      ingress: `${ingress.host}:${ingressPort}`,
      readiness: `${readiness.host}:${readinessPort}`,
      metrics: `${ingress.host}:${metrics}`,
      detail,
    });
  }

  private serveCaller(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { node, serve } = this.parts;
    return node.track(() => serve(request, response));
  }

  /** Another node asks for a newer configuration. */
  private answerPeer(request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(
      (request as { originalUrl?: string }).originalUrl ?? request.url ?? '/',
      'http://peer',
    );
    const version = Number(url.searchParams.get(NEWER_THAN) ?? 0);
    const answer = this.parts.node.configurationFor(Number.isFinite(version) ? version : 0);
    if (answer.kind === 'newer') response.writeHead(200).end(answer.value);
    else response.writeHead(answer.kind === 'same' ? 204 : 503).end();
  }

  /** Another node, which the store does not serve, exchanges reports of requests that end replicas. */
  private async exchangeCrashReports(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readRequestBody(request, MAX_MESSAGE_BYTES);
    const reports = body && parseCrashReports(body);
    if (reports) sendJson(response, 200, this.parts.node.exchangeCrashReports(reports));
    else sendJson(response, 400, { error: 'no reports' });
  }

  /** Another node gives a request. The head of the answer says that it is taken, long before the outcome. */
  private async dispatchForPeer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readRequestBody(request, MAX_DISPATCH_BYTES).catch(() => undefined);
    const framed = body && parseDispatch(body);
    if (!framed) {
      sendJson(response, 400, { error: 'no request' });
      return;
    }
    const gone = callerGone(response);
    await turnsOfEventLoop(READ_AHEAD_TURNS);
    if (gone.aborted) return;
    const outcome = this.parts.node.dispatchForPeer(framed, gone);
    if (!outcome) {
      sendJson(response, 503, { error: 'this node is leaving' });
      return;
    }
    response.writeHead(200, { 'content-type': 'application/octet-stream' });
    response.flushHeaders();
    const { message, body: answer } = await outcome;
    if (!response.destroyed) response.end(renderDispatchOutcome(message, answer));
  }

  private answerReady(response: ServerResponse): void {
    const { isReady } = this.parts.node;
    sendJson(response, isReady ? 200 : 503, { ready: isReady });
  }

  private fail(cause: unknown, response: ServerResponse): void {
    const detail = cause instanceof Error ? (cause.stack ?? cause.message) : String(cause);
    this.parts.logger.record({
      event: 'process-changed',
      change: 'a request failed within the node',
      detail,
    });
    if (!response.headersSent) sendJson(response, 500, { error: 'internal error' });
    else response.destroy();
  }

  private serveMetrics(host: string, port: number): Promise<number> {
    const server = new HttpServer({
      notFound: async (_, response) => sendJson(response, 404, {}),
      failed: (cause, _, response) => this.fail(cause, response),
    });
    server.route('GET', '/metrics', async (_, response) => {
      this.measureProcess();
      const text = await this.parts.metrics.registry.metrics();
      response.writeHead(200, { 'content-type': this.parts.metrics.registry.contentType });
      response.end(text);
    });
    return server.listen(host, port);
  }

  private measureProcess(): void {
    const { metrics, logger, node } = this.parts;
    metrics.memory.set({}, process.memoryUsage.rss());
    metrics.droppedLines.set({}, logger.droppedLines);
    node.measure();
  }

  private pulse(): void {
    const now = monotonicMs();
    const delayMs = now - this.lastPulseMs - PULSE_MS;
    this.lastPulseMs = now;
    this.parts.metrics.loopDelay.set({}, Math.max(0, delayMs) / MILLISECONDS_PER_SECOND);
    if (delayMs > STANDSTILL_MS)
      this.parts.logger.record({
        event: 'process-changed',
        change: 'stood still',
        detail: `${Math.round(delayMs)} ms`,
      });
    const limits = this.parts.node.routing.current?.limits;
    if (limits) this.callers.setTimeouts(limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS, limits.headerTimeoutMs);
  }

  private handleSignals(): void {
    process.on('SIGTERM', () => void this.stop('SIGTERM'));
    process.on('SIGINT', () => void this.stop('SIGINT'));
    process.on('SIGHUP', () => this.reload());
    process.on('unhandledRejection', (cause) => this.reportDefect('unhandled rejection', cause));
    process.on('uncaughtException', (cause) => {
      this.reportDefect('uncaught exception', cause);
      void this.parts.logger.close().then(() => process.exit(1));
    });
  }

  private reportDefect(change: string, cause: unknown): void {
    const detail = cause instanceof Error ? (cause.stack ?? cause.message) : String(cause);
    this.parts.logger.record({ event: 'process-changed', change, detail });
  }

  private reload(): void {
    try {
      const before = this.parts.settings();
      const { settings, unusedFields } = this.parts.reload();
      const detail = [...changedSettings(before, settings), `${unusedFields} unused fields`].join(', ');
      this.parts.logger.record({ event: 'process-changed', change: 'settings read again', detail });
    } catch (cause) {
      this.reportDefect('settings are wrong, the old ones stay', cause);
    }
  }

  private async stop(signal: string): Promise<void> {
    const { node, logger } = this.parts;
    if (node.isLeaving) return;
    logger.record({ event: 'process-changed', change: 'stopping', detail: signal });
    await node.drain();
    logger.record({ event: 'process-changed', change: 'stopped' });
    await logger.close();
    process.exit(0);
  }
}
