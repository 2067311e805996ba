/**
 * Pooled HTTP client on undici. Never retries and never rejects: a `TransportError` tells whether the request
 * may have been received, so that callers can decide whether a retry is safe. Corrects two behaviours of
 * undici: a reset is a failure, not the end of a response without a length; an aborted exchange does not open
 * another connection. A connection whose request is given up without a whole response is reset.
 */
import type { Socket } from 'node:net';
import type { Readable } from 'node:stream';
import { err, ok, type Result } from 'neverthrow';
import { Agent, buildConnector, DecoratorHandler, type Dispatcher } from 'undici';
import { ByteCollector } from './byte-collector.js';
import type { MemoryBudget } from './memory-budget.js';
import { limitReceivedBytes } from './receive-limits.js';
import { outOfMemory, TransportError, toTransportError } from './transport-error.js';
import { resetIfUnanswered } from './unanswered-requests.js';

/** Header names are in lower case. */
export type HeaderMap = Record<string, string | string[]>;

export interface OutgoingRequest {
  readonly method: string;
  readonly url: string;
  readonly headers?: HeaderMap;
  readonly body?: string | Buffer;
  /** Cancels the exchange, including the response body. */
  readonly signal?: AbortSignal;
  /** Maximum time until the response head, milliseconds. Default 30,000. */
  readonly headTimeoutMs?: number;
  /** Maximum time between two chunks of the body, milliseconds. Default 60,000. */
  readonly idleTimeoutMs?: number;
  /**
   * Uses a new connection for this request. The server may close a kept-alive connection during the write,
   * which leaves open whether the request was executed. Default false.
   */
  readonly freshConnection?: boolean;
  /**
   * Maximum time of the whole exchange, milliseconds; ignored by `send`. Default: the time until the head and
   * one idle time.
   */
  readonly totalTimeoutMs?: number;
  /**
   * A header that identifies the request of a response. A response with another value fails the exchange and
   * closes its connection, since the right response may still follow on it. Default: none.
   */
  readonly echoedHeader?: EchoedHeader;
}

/** A header (in lower case) that the server copies into its response. */
export interface EchoedHeader {
  readonly name: string;
  readonly value: string;
}

/** A response whose body must be read or given up (`abandonBody`). */
export interface IncomingResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: Readable;
}

export interface BufferedResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: Buffer;
}

export interface HttpClientOptions {
  /** Maximum connections to each origin; further requests queue. Default 256. */
  readonly connectionsPerOrigin?: number;
  /** Local IP address of connections. Default: selected by the system. */
  readonly localAddress?: string;
  /** Maximum time to open a connection, milliseconds. Default 2,000. */
  readonly connectTimeoutMs?: number;
  /** Lifetime of an idle connection unless the server specifies one, milliseconds. Default 4,000. */
  readonly keepAliveMs?: number;
  /** Maximum size of a response as it is sent, head and framing included, bytes. Default: no limit. */
  readonly maxResponseBytes?: number;
}

const DEFAULT_CONNECTIONS_PER_ORIGIN = 256;
const DEFAULT_HEAD_TIMEOUT_MS = 30_000;
const DEFAULT_IDLE_TIMEOUT_MS = 60_000;
const CONNECT_TIMEOUT_MS = 2_000;
const KEEP_ALIVE_MS = 4_000;
const MAX_DISCARDED_BYTES = 64 * 1024;
const DISCARD_TIMEOUT_MS = 1_000;
const DEFAULT_BODY_LIMIT_BYTES = 32 * 1024 * 1024;
/** Statuses of final responses (RFC 9110, section 15). undici fails responses with a status below 100. */
const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/**
 * Buffers a stream of at most `limitBytes`. Fails if it is truncated, or if it has to give way in the budget.
 */
export async function readFully(
  body: Readable,
  limitBytes: number,
  budget?: MemoryBudget,
): Promise<Result<Buffer, TransportError>> {
  const holding = budget?.open(() => body.destroy(outOfMemory('the body')));
  const received = new ByteCollector({ maxBytes: limitBytes, holding });
  try {
    for await (const chunk of body) {
      if (received.length + chunk.length > limitBytes) {
        abandonBody(body);
        return err(new TransportError('body-too-large', true, `body exceeds ${limitBytes} bytes`));
      }
      holding?.grow(chunk.length);
      received.add(chunk);
    }
  } catch (cause) {
    return err(toTransportError(cause));
  } finally {
    holding?.release();
  }
  return ok(received.concat());
}

/** Gives up a body, and its connection unless the body was received whole. */
export function abandonBody(body: Readable): void {
  // undici reports this as an error, which would end the process if nothing listened.
  body.on('error', () => {});
  body.destroy();
}

/** Reads a body that nobody needs, so that its connection can be reused, unless it is long or slow. */
export async function discardBody(body: Readable): Promise<void> {
  const timer = setTimeout(() => abandonBody(body), DISCARD_TIMEOUT_MS);
  await readFully(body, MAX_DISCARDED_BYTES);
  clearTimeout(timer);
}

/** The methods of the base class, which its type omits. */
const baseHandler = DecoratorHandler.prototype as Dispatcher.DispatchHandler;

/** Fails an exchange whose response has no status of HTTP, or another value of the echoed header. */
class ResponseCheck extends DecoratorHandler {
  constructor(
    private readonly echoed: EchoedHeader | undefined,
    handler: Dispatcher.DispatchHandler,
  ) {
    super(handler);
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: Record<string, string | string[]>,
    statusMessage?: string,
  ): void {
    // The base class takes one response only; nobody needs interim ones.
    if (statusCode < MIN_FINAL_STATUS) return;
    const defect = this.defectOf(statusCode, headers);
    if (defect !== undefined) controller.abort(new TransportError('wrong-answer', true, defect));
    else baseHandler.onResponseStart?.call(this, controller, statusCode, headers, statusMessage);
  }

  private defectOf(statusCode: number, headers: Record<string, string | string[]>): string | undefined {
    if (statusCode > MAX_STATUS) return `${statusCode} is no status of a response`;
    const value = this.echoed && headers[this.echoed.name];
    if (value === undefined || value === this.echoed?.value) return undefined;
    return `response is for request ${String(value)}`;
  }
}

/** Options of a request, with the input of `ResponseCheck`. */
type CheckedOptions = Dispatcher.DispatchOptions & { readonly echoedHeader?: EchoedHeader };

const checkResponse: Dispatcher.DispatcherComposeInterceptor = (dispatch) => (options, handler) =>
  dispatch(options, new ResponseCheck((options as CheckedOptions).echoedHeader, handler));

/** Error code of a reset connection, and its replacement. */
const RESET_CODE = 'ECONNRESET';
const RESET_REPLACEMENT_CODE = 'CONNECTION_RESET';

/**
 * Makes every connection reset a failure. undici treats `ECONNRESET` as the end of a response without a
 * length, so the error gets another code. If the last bytes and the reset arrive together, Node reports an
 * orderly end; the reset is then recognized by the missing peer address.
 */
function failOnReset(socket: Socket): void {
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    if (error.code === RESET_CODE) error.code = RESET_REPLACEMENT_CODE;
  });
  const emit = socket.emit.bind(socket);
  socket.emit = (event: string | symbol, ...args: unknown[]): boolean => {
    if (event !== 'end' || socket.remoteAddress !== undefined) return emit(event as string, ...args);
    socket.destroy(Object.assign(new Error('connection reset'), { code: RESET_REPLACEMENT_CODE }));
    return true;
  };
}

/** Code of internal errors of undici, and its replacement when an exchange is aborted. */
const UNDICI_INTERNAL_CODE = 'UND_ERR_INFO';
const ABORTED_CODE = 'EXCHANGE_ABORTED';

/**
 * Keeps undici from reconnecting for an aborted exchange. It does so if the socket ends with an internal
 * error, since the request is still queued; with any other error code it removes the request first.
 */
function avoidReconnectAfterAbort(socket: Socket): void {
  const destroy = socket.destroy.bind(socket);
  socket.destroy = (error?: NodeJS.ErrnoException) => {
    const isAbort = error?.code === UNDICI_INTERNAL_CODE && error.message === 'aborted';
    return destroy(isAbort ? Object.assign(new Error('aborted'), { code: ABORTED_CODE }) : error);
  };
}

/** Opens connections with both corrections of undici, limits of received bytes, and resets of abandoned requests. */
function createConnector(
  timeoutMs: number,
  maxResponseBytes: number,
  localAddress: string | undefined,
): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs, ...(localAddress ? { localAddress } : {}) });
  return (options, callback) =>
    connect(options, (...result: buildConnector.CallbackArgs) => {
      if (result[1]) {
        failOnReset(result[1]);
        avoidReconnectAfterAbort(result[1]);
        limitReceivedBytes(result[1], maxResponseBytes);
        resetIfUnanswered(result[1]);
      }
      callback(...result);
    });
}

/** Splits an `http://` URL into origin and path. */
function splitUrl(url: string): { origin: string; path: string } {
  const slash = url.indexOf('/', url.indexOf('//') + 2);
  return slash < 0 ? { origin: url, path: '/' } : { origin: url.slice(0, slash), path: url.slice(slash) };
}

/** A signal that times out after `timeoutMs` or aborts with `signal`; `release` must be called when done. */
function timeoutSignal(
  timeoutMs: number,
  signal?: AbortSignal,
): { signal: AbortSignal; release: () => void } {
  const controller = new AbortController();
  const abort = () => controller.abort();
  const timeOut = () => controller.abort(new TransportError('timed-out', true, 'the exchange took too long'));
  const timer = setTimeout(timeOut, timeoutMs);
  if (signal?.aborted) abort();
  signal?.addEventListener('abort', abort, { once: true });
  const release = () => {
    clearTimeout(timer);
    signal?.removeEventListener('abort', abort);
  };
  return { signal: controller.signal, release };
}

/** A client with a connection pool; call `close` when done. */
export class HttpClient {
  private readonly pooledAgent: Agent;
  private readonly pooled: Dispatcher;
  private readonly freshAgent: Agent;
  private readonly fresh: Dispatcher;

  constructor(options: HttpClientOptions = {}) {
    const { connectionsPerOrigin = DEFAULT_CONNECTIONS_PER_ORIGIN, localAddress } = options;
    const { connectTimeoutMs = CONNECT_TIMEOUT_MS, keepAliveMs = KEEP_ALIVE_MS } = options;
    const { maxResponseBytes = Number.POSITIVE_INFINITY } = options;
    const connect = createConnector(connectTimeoutMs, maxResponseBytes, localAddress);
    const shared = { connections: connectionsPerOrigin, connect };
    this.pooledAgent = new Agent({ ...shared, pipelining: 1, keepAliveTimeout: keepAliveMs });
    this.pooled = this.pooledAgent.compose(checkResponse);
    this.freshAgent = new Agent({ ...shared, pipelining: 0 });
    this.fresh = this.freshAgent.compose(checkResponse);
  }

  /** Sends a request; resolves with the response head. The caller must read the body or give it up. */
  async send(outgoing: OutgoingRequest): Promise<Result<IncomingResponse, TransportError>> {
    try {
      const dispatcher = outgoing.freshConnection ? this.fresh : this.pooled;
      const options: Dispatcher.RequestOptions & { echoedHeader?: EchoedHeader } = {
        ...splitUrl(outgoing.url),
        echoedHeader: outgoing.echoedHeader,
        method: outgoing.method as 'GET',
        headers: outgoing.headers,
        body: outgoing.body,
        signal: outgoing.signal,
        headersTimeout: outgoing.headTimeoutMs ?? DEFAULT_HEAD_TIMEOUT_MS,
        bodyTimeout: outgoing.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
      };
      const response = await dispatcher.request(options);
      return ok({ status: response.statusCode, headers: response.headers, body: response.body });
    } catch (cause) {
      return err(toTransportError(cause));
    }
  }

  /** Sends a request and buffers the response. */
  async exchange(
    outgoing: OutgoingRequest,
    limitBytes = DEFAULT_BODY_LIMIT_BYTES,
  ): Promise<Result<BufferedResponse, TransportError>> {
    const { headTimeoutMs = DEFAULT_HEAD_TIMEOUT_MS, idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS } = outgoing;
    const { totalTimeoutMs = headTimeoutMs + idleTimeoutMs } = outgoing;
    const timeout = timeoutSignal(totalTimeoutMs, outgoing.signal);
    try {
      return await this.exchangeBuffered({ ...outgoing, signal: timeout.signal }, limitBytes);
    } finally {
      timeout.release();
    }
  }

  private async exchangeBuffered(
    outgoing: OutgoingRequest,
    limitBytes: number,
  ): Promise<Result<BufferedResponse, TransportError>> {
    const response = await this.send(outgoing);
    if (response.isErr()) return err(response.error);
    const { status, headers, body } = response.value;
    const buffered = await readFully(body, limitBytes);
    return buffered.map((bytes) => ({ status, headers, body: bytes }));
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    await Promise.all([this.pooledAgent.destroy(), this.freshAgent.destroy()]);
  }
}
