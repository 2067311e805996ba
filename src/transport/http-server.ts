/**
 * HTTP server on polka with limits on headers, connections and slow clients, and helpers for responses.
 * `failed` of the server answers requests whose handler rejects.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import polka from 'polka';
import { Connections } from './connections.js';
import { boundReadingAfter, lingerOnClose } from './lingering-close.js';
import type { MemoryBudget } from './memory-budget.js';
import { resetOnDestroy } from './socket-reset.js';

/** Limits on clients, times in milliseconds. */
export interface HttpServerOptions {
  /** Default 16 KiB. */
  readonly maxHeaderBytes?: number;
  /** Maximum time to receive a request. Default 30,000. */
  readonly requestTimeoutMs?: number;
  /** Lifetime of an idle connection. Default 8,000. */
  readonly keepAliveTimeoutMs?: number;
  /** Default 20,000. */
  readonly maxConnections?: number;
  /** Counts responses that clients read slowly, and what is received after a response. Default: not counted. */
  readonly budget?: MemoryBudget;
}

/** Defaults; the configuration of a platform replaces the timeouts. */
const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 30_000;
const KEEP_ALIVE_TIMEOUT_MS = 8_000;
/** Interval at which Node checks the timeouts of requests, which may be exceeded by as much. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
const MAX_CONNECTIONS = 20_000;

/** Limits that may change while a server runs; times in milliseconds. */
export interface ConnectionSettings {
  readonly keepAliveTimeoutMs: number;
  readonly headersTimeoutMs: number;
  readonly maxHeaderBytes: number;
}

/** Handles and answers a request. `ServerFallbacks.failed` answers if it rejects. */
export type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Handlers for requests without a route, and after a handler has failed. */
export interface ServerFallbacks {
  readonly notFound: Handler;
  readonly failed: (cause: unknown, request: IncomingMessage, response: ServerResponse) => void;
}

/** Routes are matched by method and path pattern. */
export class HttpServer {
  private readonly app;
  private readonly server: Server;
  private readonly connections: Connections;
  private readonly budget: MemoryBudget | undefined;

  constructor(
    private readonly fallbacks: ServerFallbacks,
    options: HttpServerOptions = {},
  ) {
    this.budget = options.budget;
    this.connections = new Connections(options.maxConnections ?? MAX_CONNECTIONS);
    this.server = createServer({
      maxHeaderSize: options.maxHeaderBytes ?? MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: options.requestTimeoutMs ?? REQUEST_TIMEOUT_MS,
      keepAliveTimeout: options.keepAliveTimeoutMs ?? KEEP_ALIVE_TIMEOUT_MS,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    });
    this.server.on('connection', (socket) => this.track(socket));
    this.server.on('request', (request, response) => this.trackRequest(request, response));
    // Bodies are asked for when they are received.
    this.server.on('checkContinue', (request, response) => this.server.emit('request', request, response));
    this.app = polka({
      server: this.server,
      onNoMatch: (request, response) => {
        void this.run(this.fallbacks.notFound, request, response as ServerResponse);
      },
    });
  }

  /** Adds a handler for a method (or `ALL`) and a route pattern of Trouter (`/a/:b`, `/a/*`). */
  route(
    method: 'ALL' | 'GET' | 'PUT' | 'POST' | 'PATCH' | 'DELETE',
    pattern: string,
    handler: Handler,
  ): void {
    const run = (request: IncomingMessage, response: ServerResponse) => {
      void this.run(handler, request, response);
    };
    if (method === 'ALL') this.app.all(pattern, run as never);
    else this.app.add(method, pattern, run as never);
  }

  /** Starts listening; port 0 selects a free one. Resolves to the port. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.app.listen({ host, port } as never, () => resolve((this.server.address() as AddressInfo).port));
    });
  }

  /** Changes the keep-alive and header timeouts for all connections, and the size of heads for new ones. */
  setLimits({ keepAliveTimeoutMs, headersTimeoutMs, maxHeaderBytes }: ConnectionSettings): void {
    this.server.keepAliveTimeout = keepAliveTimeoutMs;
    this.server.headersTimeout = headersTimeoutMs;
    // Node reads it for each connection, though its types have it only as an option.
    (this.server as Server & { maxHeaderSize: number }).maxHeaderSize = maxHeaderBytes;
  }

  /** Closes connections without an open request. */
  closeIdleConnections(): void {
    this.connections.closeIdle();
  }

  /** Whether bytes of a response wait for a client that reads slowly. */
  get hasUnsentBytes(): boolean {
    return this.connections.hasUnsentBytes;
  }

  /** Resets the connections with unsent bytes, for the exit of the process. */
  resetUnsent(): void {
    this.connections.resetUnsent();
  }

  /** Connections that were closed since the maximum was reached. */
  get replacedConnections(): number {
    return this.connections.replacedCount;
  }

  /** Stops accepting connections; resolves when open requests have ended. */
  async closeGracefully(): Promise<void> {
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    this.server.closeIdleConnections();
    await closed;
  }

  /** Closes all connections immediately. */
  destroy(): void {
    this.server.close();
    this.connections.destroy();
  }

  private track(socket: Socket): void {
    lingerOnClose(socket);
    this.connections.add(socket);
  }

  private trackRequest(request: IncomingMessage, response: ServerResponse): void {
    this.connections.begin(request, response);
    boundReadingAfter(request, response, (bytes) => this.budget?.noteYoungGarbage(bytes));
    response.once('prefinish', () => this.holdUnsent(request.socket, response));
  }

  /** Counts what the client of a finished response has not read; it is reset if it has to give way. */
  private holdUnsent(socket: Socket, response: ServerResponse): void {
    if (response.writableLength === 0 || !this.budget) return;
    const holding = this.budget.open(() => {
      resetOnDestroy(socket);
      socket.destroy();
    });
    response.once('close', () => holding.release());
    holding.grow(response.writableLength);
  }

  private async run(handler: Handler, request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await handler(request, response);
    } catch (cause) {
      this.fallbacks.failed(cause, request, response);
    }
  }
}

/** Aborts when the connection closes before the response was sent. */
export function disconnectSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}

/**
 * Writes the head of a response that ends with its connection. Used for responses received in this form: they
 * may be truncated, which a content length would hide.
 */
export function writeUnframedHead(
  response: ServerResponse,
  status: number,
  headers: Readonly<Record<string, string | string[]>>,
): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(status, { ...headers, connection: 'close' });
}

export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void {
  if (response.headersSent || response.destroyed) return;
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body).toString(),
    ...headers,
  });
  response.end(body);
}
