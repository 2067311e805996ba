/** Pooled HTTP client (undici). It never retries: whether a repeat is safe is decided by the layers above. */
import type { Readable } from 'node:stream';
import { err, ok, type Result } from 'neverthrow';
import { Agent, request } from 'undici';
import { TransportError, toTransportError } from './transport-error.js';

/** Header names are in lower case. */
export type HeaderMap = Record<string, string | string[]>;

/** A request to send. */
export interface OutgoingRequest {
  readonly method: string;
  readonly url: string;
  readonly headers?: HeaderMap;
  readonly body?: string | Buffer;
  /** Cancels the exchange, also while the body is read. */
  readonly signal?: AbortSignal;
  /** Longest wait for the head of the response, milliseconds. Default 30,000. */
  readonly headTimeoutMs?: number;
  /** Longest silence between two chunks of the body, milliseconds. Default 60,000. */
  readonly idleTimeoutMs?: number;
  /**
   * Sends on a connection opened for this request alone. A kept-alive connection may be closed by the other
   * side at the moment of writing, which would leave open whether the request ran. Default false.
   */
  readonly freshConnection?: boolean;
}

/** The head of a response and its body, still to be read or destroyed. */
export interface IncomingResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: Readable;
}

/** A response read whole. */
export interface WholeResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: Buffer;
}

/** How a client connects. */
export interface HttpClientOptions {
  /** Connections to each other side at most; further requests queue. Default 256. */
  readonly connectionsPerOrigin?: number;
  /** IP address that connections come from. Default: chosen by the system. */
  readonly localAddress?: string;
}

const DEFAULT_CONNECTIONS_PER_ORIGIN = 256;
const DEFAULT_HEAD_TIMEOUT_MS = 30_000;
const DEFAULT_IDLE_TIMEOUT_MS = 60_000;
const CONNECT_TIMEOUT_MS = 2_000;
const KEEP_ALIVE_MS = 4_000;
const DEFAULT_BODY_LIMIT_BYTES = 32 * 1024 * 1024;

/** Reads a stream whole, at most `limitBytes`. Fails when it ends before its declared end. */
export async function readWhole(body: Readable, limitBytes: number): Promise<Result<Buffer, TransportError>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of body) {
      size += chunk.length;
      if (size > limitBytes) {
        body.destroy();
        return err(new TransportError('body-too-large', true, `body exceeds ${limitBytes} bytes`));
      }
      chunks.push(chunk);
    }
  } catch (cause) {
    return err(toTransportError(cause));
  }
  return ok(Buffer.concat(chunks));
}

/** One client for a process or node; call `close` when done. */
export class HttpClient {
  private readonly pooled: Agent;
  private readonly fresh: Agent;

  constructor(options: HttpClientOptions = {}) {
    const { connectionsPerOrigin = DEFAULT_CONNECTIONS_PER_ORIGIN, localAddress } = options;
    const connect = { timeout: CONNECT_TIMEOUT_MS };
    const shared = { connections: connectionsPerOrigin, connect, ...(localAddress ? { localAddress } : {}) };
    this.pooled = new Agent({ ...shared, pipelining: 1, keepAliveTimeout: KEEP_ALIVE_MS });
    this.fresh = new Agent({ ...shared, pipelining: 0 });
  }

  /** Sends a request; resolves at the head of the response. */
  async send(outgoing: OutgoingRequest): Promise<Result<IncomingResponse, TransportError>> {
    try {
      const response = await request(outgoing.url, {
        dispatcher: outgoing.freshConnection ? this.fresh : this.pooled,
        method: outgoing.method as 'GET',
        headers: outgoing.headers,
        body: outgoing.body,
        signal: outgoing.signal,
        headersTimeout: outgoing.headTimeoutMs ?? DEFAULT_HEAD_TIMEOUT_MS,
        bodyTimeout: outgoing.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
      });
      return ok({ status: response.statusCode, headers: response.headers, body: response.body });
    } catch (cause) {
      return err(toTransportError(cause));
    }
  }

  /** Sends a request and reads the response whole. */
  async exchange(
    outgoing: OutgoingRequest,
    limitBytes = DEFAULT_BODY_LIMIT_BYTES,
  ): Promise<Result<WholeResponse, TransportError>> {
    const response = await this.send(outgoing);
    if (response.isErr()) return err(response.error);
    const { status, headers, body } = response.value;
    const whole = await readWhole(body, limitBytes);
    return whole.map((bytes) => ({ status, headers, body: bytes }));
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    await Promise.all([this.pooled.destroy(), this.fresh.destroy()]);
  }
}
