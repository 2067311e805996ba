/** HTTP endpoints for other nodes, on a separate port: forwarded requests, configuration, crash reports. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { setImmediate } from 'node:timers/promises';
import { monotonicMs } from '../../common/clock.js';
import { CONFIGURATION_PATH, NEWER_THAN_PARAMETER } from '../../protocol/service/configuration-peer.js';
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
import { disconnectSignal, type HttpServer, sendJson } from '../../transport/http-server.js';
import { type ReceiveResult, receiveBody } from '../../transport/request-body.js';
import type { ServiceNode } from './service-node.js';

/**
 * Event loop turns between reading a peer's request and dispatching it. After a process pause, the request
 * may have waited in the socket buffer together with the end of its connection, which is read in a later
 * turn. Such a request must not be sent to a replica.
 */
const EVENT_LOOP_TURNS_BEFORE_DISPATCH = 3;
/** Longest time for a peer's message, and within it without a byte, milliseconds. */
const RECEIVE_TIMEOUT_MS = 30_000;
const RECEIVE_IDLE_TIMEOUT_MS = 5_000;

async function yieldToEventLoop(count: number): Promise<void> {
  for (let turns = 0; turns < count; turns += 1) await setImmediate();
}

export class PeerEndpoint {
  constructor(private readonly node: ServiceNode) {}

  /** Adds the routes to the server of the peer port. */
  register(server: HttpServer): void {
    server.route('POST', DISPATCH_PATH, (request, response) =>
      this.node.requests.track(() => this.dispatch(request, response)),
    );
    server.route('GET', CONFIGURATION_PATH, async (request, response) =>
      this.answerConfiguration(request, response),
    );
    server.route('POST', CRASH_REPORTS_PATH, (request, response) =>
      this.exchangeCrashReports(request, response),
    );
  }

  private answerConfiguration(request: IncomingMessage, response: ServerResponse): void {
    const { originalUrl } = request as { originalUrl?: string };
    const url = new URL(originalUrl ?? request.url ?? '/', 'http://peer');
    const version = Number(url.searchParams.get(NEWER_THAN_PARAMETER) ?? 0);
    const answer = this.node.configurationFor(Number.isFinite(version) ? version : 0);
    if (answer.kind === 'newer') response.writeHead(200).end(answer.value);
    else response.writeHead(answer.kind === 'same' ? 204 : 503).end();
  }

  private receive(
    request: IncomingMessage,
    response: ServerResponse,
    maxBytes: number,
  ): Promise<ReceiveResult> {
    const deadlineMs = monotonicMs() + RECEIVE_TIMEOUT_MS;
    const limits = { maxBytes, idleTimeoutMs: RECEIVE_IDLE_TIMEOUT_MS, deadlineMs };
    return receiveBody(request, response, limits, this.node.budget);
  }

  private async exchangeCrashReports(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const received = await this.receive(request, response, MAX_MESSAGE_BYTES);
    const reports = received.isOk() ? parseCrashReports(received.value.bytes) : undefined;
    if (received.isOk()) received.value.holding.release();
    if (reports) sendJson(response, 200, this.node.exchangeCrashReports(reports));
    else sendJson(response, 400, { error: 'malformed crash reports' });
  }

  /** The response head acknowledges the request; the body follows with the outcome. */
  private async dispatch(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const received = await this.receive(request, response, MAX_DISPATCH_BYTES);
    if (received.isErr()) {
      // A truncated body means that the peer has disconnected: nothing was accepted, and the response is not read.
      sendJson(response, 503, { error: received.error.message });
      return;
    }
    try {
      await this.dispatchReceived(received.value.bytes, response);
    } finally {
      received.value.holding.release();
    }
  }

  private async dispatchReceived(body: Buffer, response: ServerResponse): Promise<void> {
    const framed = parseDispatch(body);
    if (!framed) {
      sendJson(response, 400, { error: 'malformed dispatch request' });
      return;
    }
    const disconnected = disconnectSignal(response);
    await yieldToEventLoop(EVENT_LOOP_TURNS_BEFORE_DISPATCH);
    if (disconnected.aborted) return;
    const outcome = this.node.dispatchForPeer(framed, disconnected);
    if (!outcome) {
      sendJson(response, 503, { error: 'this node does not take the call' });
      return;
    }
    response.writeHead(200, { 'content-type': 'application/octet-stream' });
    response.flushHeaders();
    const { message, body: answer } = await outcome;
    if (!response.destroyed) response.end(renderDispatchOutcome(message, answer));
  }
}
