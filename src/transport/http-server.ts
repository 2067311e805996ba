/**
 * HTTP server on polka, with limits on heads, connections and slow senders; helpers for answers.
 * A handler that rejects is answered by the server's `failed`; nothing here retries.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import polka from 'polka';

/** Limits on clients. Times are in milliseconds. */
export interface HttpServerOptions {
  /** Default 16 KiB. */
  readonly maxHeaderBytes?: number;
  /** Longest time for a whole request. Default 30,000. */
  readonly requestTimeoutMs?: number;
  /** Lifetime of an idle connection. Default 8,000. */
  readonly keepAliveTimeoutMs?: number;
}

/** Limits; chosen, not measured. A platform's configuration replaces the timeouts of its nodes. */
const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 30_000;
const KEEP_ALIVE_TIMEOUT_MS = 8_000;
/** How often Node checks the two timeouts of a request, which it overruns by as much. */
const CONNECTION_CHECK_INTERVAL_MS = 500;
const MAX_CONNECTIONS = 20_000;

/** Handles one request; it must answer. A rejection is answered by `ServerFallbacks.failed`. */
export type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Answers requests without a route, and those whose handler failed. */
export interface ServerFallbacks {
  readonly notFound: Handler;
  readonly failed: (cause: unknown, request: IncomingMessage, response: ServerResponse) => void;
}

/** One listening server. Routes are matched by method and the first path segments. */
export class HttpServer {
  private readonly app;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(
    private readonly fallbacks: ServerFallbacks,
    options: HttpServerOptions = {},
  ) {
    this.server = createServer({
      maxHeaderSize: options.maxHeaderBytes ?? MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: options.requestTimeoutMs ?? REQUEST_TIMEOUT_MS,
      keepAliveTimeout: options.keepAliveTimeoutMs ?? KEEP_ALIVE_TIMEOUT_MS,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
    });
    this.server.maxConnections = MAX_CONNECTIONS;
    this.server.on('connection', (socket) => this.track(socket));
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

  /** Starts listening; port 0 takes a free one. Resolves to the port. */
  listen(host: string, port: number): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.app.listen({ host, port } as never, () => resolve((this.server.address() as AddressInfo).port));
    });
  }

  /** Changes the lifetime of idle connections and the longest time for a head, from now on. */
  setTimeouts(keepAliveTimeoutMs: number, headersTimeoutMs: number): void {
    this.server.keepAliveTimeout = keepAliveTimeoutMs;
    this.server.headersTimeout = headersTimeoutMs;
  }

  /** Stops accepting connections and resolves when the open exchanges have ended. */
  async closeGracefully(): Promise<void> {
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    this.server.closeIdleConnections();
    await closed;
  }

  /** Closes all connections at once. */
  destroy(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
  }

  private async run(handler: Handler, request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      await handler(request, response);
    } catch (cause) {
      this.fallbacks.failed(cause, request, response);
    }
  }
}

/** Aborts when the caller's connection closes before the answer was sent. */
export function disconnectSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once('close', () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}

/** Buffers a request's body; `undefined` when it exceeds `limitBytes`. Rejects when the caller leaves. */
export async function readRequestBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > limitBytes) return undefined;
    chunks.push(chunk);
  }
  return chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks);
}

/**
 * Writes the head of an answer that ends with its connection. For an answer that was received in this form:
 * it may have been truncated, and a length would hide that.
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

/** Sends a JSON answer. */
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
