/**
 * Receives the body of a request within limits of size, time and memory. A failed body is dropped at once, while the
 * client may still be sending: `HttpServer` reads on for a bounded time after the response.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { err, ok, type Result } from 'neverthrow';
import { monotonicMs } from '../common/clock.js';
import { ByteCollector } from './byte-collector.js';
import type { Holding, MemoryBudget } from './memory-budget.js';
import { outOfMemory, TransportError, type TransportFailure } from './transport-error.js';

/** Limits of a body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Longest time without a byte, milliseconds. */
  readonly idleTimeoutMs: number;
  /** Time by which it must be whole, on the monotonic clock. */
  readonly deadlineMs: number;
}

/** A whole body. Its holding must be released when it is no longer needed. */
export interface ReceivedBody {
  readonly bytes: Buffer;
  readonly holding: Holding;
}

/** Failures: `body-too-large`, `timed-out`, `no-memory`, and `connection-lost` when nobody is left to answer. */
export type ReceiveResult = Result<ReceivedBody, TransportError>;

const CONTINUE = '100-continue';

/** Size that the client has announced; `undefined` for a chunked body. */
function announcedBytes({ headers }: IncomingMessage): number | undefined {
  const length = headers['content-length'];
  return length === undefined ? undefined : Number(length);
}

/** Receives a body; asks the client for it if the client waits to be asked. Never rejects. */
export function receiveBody(
  request: IncomingMessage,
  response: ServerResponse,
  limits: BodyLimits,
  budget: MemoryBudget,
): Promise<ReceiveResult> {
  if ((announcedBytes(request) ?? 0) > limits.maxBytes) {
    // Reading makes the chunks visible to `boundReadingAfter`; Node would drop those of an unread request silently.
    request.resume();
    return Promise.resolve(err(tooLarge(limits)));
  }
  if (request.headers.expect?.toLowerCase() === CONTINUE) response.writeContinue();
  return new Promise((resolve) => new BodyReception(request, limits, budget, resolve).begin());
}

function tooLarge({ maxBytes }: BodyLimits): TransportError {
  return new TransportError('body-too-large', true, `the body exceeds ${maxBytes} bytes`);
}

/** One body that is being received. */
class BodyReception {
  private readonly holding: Holding;
  /** `undefined` when the body was handed over or dropped. */
  private received: ByteCollector | undefined;
  private progressAtMs = monotonicMs();
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly request: IncomingMessage,
    private readonly limits: BodyLimits,
    budget: MemoryBudget,
    private readonly resolve: (result: ReceiveResult) => void,
  ) {
    this.holding = budget.open(() => this.finish(err(outOfMemory('the body'))));
    const { maxBytes } = limits;
    this.received = new ByteCollector({
      maxBytes,
      expectedBytes: announcedBytes(request),
      holding: this.holding,
    });
  }

  begin(): void {
    this.request.on('data', this.onData);
    this.request.once('end', this.onEnd);
    this.request.once('error', this.onLost);
    this.request.once('close', this.onLost);
    if (this.request.destroyed) this.onLost();
    else this.checkTime();
  }

  private readonly onData = (chunk: Buffer): void => {
    this.progressAtMs = monotonicMs();
    if ((this.received?.length ?? 0) + chunk.length > this.limits.maxBytes) {
      this.finish(err(tooLarge(this.limits)));
      return;
    }
    this.holding.grow(chunk.length);
    this.received?.add(chunk);
  };

  private readonly onEnd = (): void => {
    const { received, holding } = this;
    if (!received) return;
    holding.pin();
    this.finish(ok({ bytes: received.concat(), holding }));
  };

  private readonly onLost = (): void => this.fail('connection-lost', 'the client has disconnected');

  private checkTime(): void {
    const { idleTimeoutMs, deadlineMs } = this.limits;
    const leftMs = Math.min(this.progressAtMs + idleTimeoutMs, deadlineMs) - monotonicMs();
    if (leftMs <= 0) this.fail('timed-out', 'the body did not arrive in time');
    else this.timer = setTimeout(() => this.checkTime(), Math.ceil(leftMs));
  }

  private fail(failure: TransportFailure, message: string): void {
    this.finish(err(new TransportError(failure, true, message)));
  }

  private finish(result: ReceiveResult): void {
    if (!this.received) return;
    this.received = undefined;
    clearTimeout(this.timer);
    this.request.off('data', this.onData);
    this.request.off('end', this.onEnd);
    this.request.off('error', this.onLost);
    this.request.off('close', this.onLost);
    if (result.isErr()) this.holding.release();
    this.resolve(result);
  }
}
