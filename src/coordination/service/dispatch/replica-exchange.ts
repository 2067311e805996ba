/**
 * Sends a single attempt to a replica and classifies its outcome. Updates the statistics of the replica and
 * logs each attempt. An ambiguous outcome is `unknown`.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { ReplicaAnswer, ReplicaClient, ReplicaRequest } from '../../../protocol/service/replica.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import { abandonBody, readFully } from '../../../transport/http-client.js';
import type { MemoryBudget } from '../../../transport/memory-budget.js';
import type { TransportError } from '../../../transport/transport-error.js';
import type { CrashCheck } from './crash-check.js';
import { digestOf } from './request-digest.js';

/** Maximum body size of an answer, bytes. A larger one fails the attempt. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/**
 * Time after the deadline for which an attempt waits for the rest of an answer, milliseconds. Longer than callers
 * wait before they abort it.
 */
const ANSWER_GRACE_MS = 500;
/** First back-off from a full replica, milliseconds; about one service time. */
const FULL_BACKOFF_MS = 60;
/** HTTP 421 Misdirected Request: another replica has the address. */
const MISDIRECTED_STATUS = 421;

/** A completely read answer. */
export interface BufferedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  readonly signature: string | undefined;
  /** False if the end of the body was signalled by closing the connection, so that it may be truncated. */
  readonly isFramed: boolean;
}

export type AttemptOutcome =
  | { readonly kind: 'answered'; readonly answer: BufferedAnswer }
  /** The request certainly did not run. */
  | {
      readonly kind: 'declined';
      readonly reason: string;
      readonly isFull: boolean;
      /** Whether the replica declined the weight version that the request names, so that nothing is wrong with it. */
      readonly isVersionMismatch?: boolean;
    }
  /** The request may have run, but there is no usable answer. */
  | {
      readonly kind: 'unknown';
      readonly reason: string;
      /** Whether the replica has certainly crashed; only set after a lost connection or a restart. */
      readonly replicaCrashed?: boolean;
    }
  /** The caller cancelled the request, or its deadline passed. */
  | { readonly kind: 'cancelled' };

/** Additional fields of the log line. */
export interface AttemptContext {
  readonly configVersion: number;
  readonly jobId?: string;
  /** Time queued here, and time on the way from another node, milliseconds. */
  readonly waitedMs?: number;
  readonly transitMs?: number;
}

export interface AttemptOptions extends AttemptContext {
  /** Expected service time, milliseconds; 0 if unknown. */
  readonly expectedMs: number;
}

/** Why an answer must not be forwarded, judged by its head; `undefined` if it may be. */
export function answerDefect(answer: ReplicaAnswer): string | undefined {
  if (!answer.matchesRequest) return 'the answer belongs to another request';
  if (answer.isEncoded) return 'the body is encoded';
  if (answer.status >= 200 && answer.status < 300 && !answer.signature)
    return 'the successful answer is not signed';
  return undefined;
}

/** Returns the `declined` outcome if the answer states that the request did not run. */
function toDecline(answer: ReplicaAnswer): AttemptOutcome | undefined {
  const { isNotExecuted, isVersionMismatch, matchesRequest, status } = answer;
  if (!isNotExecuted) return undefined;
  const isMisdirected = status === MISDIRECTED_STATUS;
  if (matchesRequest)
    return { kind: 'declined', reason: `status ${status}`, isFull: !isMisdirected, isVersionMismatch };
  if (!isMisdirected) return undefined;
  return { kind: 'declined', reason: 'another replica has the address', isFull: false };
}

export class ReplicaExchange {
  constructor(
    readonly client: ReplicaClient,
    private readonly crashCheck: CrashCheck,
    private readonly budget: MemoryBudget,
    private readonly metrics: ServiceMetrics,
    private readonly logger: DecisionLogger,
  ) {}

  /** Sends a request once and reads the whole answer. Never rejects. */
  async attempt(
    state: ReplicaState,
    request: ReplicaRequest,
    { expectedMs, ...context }: AttemptOptions,
  ): Promise<AttemptOutcome> {
    const startedAt = monotonicMs();
    state.recordAttemptStart(expectedMs);
    const outcome = await this.exchangeUntilRestart(state, request);
    state.recordAttemptEnd(outcome.kind === 'answered' || outcome.kind === 'declined');
    const tookMs = monotonicMs() - startedAt;
    this.recordOutcome(state, outcome, tookMs);
    this.logAttempt(state, request, outcome, tookMs, context);
    return outcome;
  }

  /**
   * Aborts an attempt when its replica restarts, since there will be no answer, and after its deadline even if
   * nobody else does: the rest of a hedged request, or that of a caller whose disconnect is not seen. In both
   * cases the request may have run.
   */
  private async exchangeUntilRestart(state: ReplicaState, request: ReplicaRequest): Promise<AttemptOutcome> {
    const controller = new AbortController();
    const abort = () => controller.abort();
    const removeListener = state.onRestart(abort);
    const timer = setTimeout(abort, request.remainingMs + ANSWER_GRACE_MS);
    request.signal.addEventListener('abort', abort, { once: true });
    if (request.signal.aborted) abort();
    try {
      const outcome = await this.exchange(state, { ...request, signal: controller.signal });
      if (outcome.kind !== 'cancelled' || request.signal.aborted) return outcome;
      if (!state.hasRestarted) return { kind: 'unknown', reason: 'no whole answer by the deadline' };
      return { kind: 'unknown', reason: 'the replica has restarted', replicaCrashed: true };
    } finally {
      clearTimeout(timer);
      removeListener();
      request.signal.removeEventListener('abort', abort);
    }
  }

  private async exchange(state: ReplicaState, request: ReplicaRequest): Promise<AttemptOutcome> {
    const response = await this.client.dispatch(state.replica, request);
    if (response.isErr()) {
      const { failure, requestSent, message } = response.error;
      const reason = `${failure}: ${message}`;
      if (!request.signal.aborted && !requestSent) return { kind: 'declined', reason, isFull: false };
      return this.outcomeOfFailure(state, request, response.error, reason);
    }
    return this.receive(state, request, response.value);
  }

  private async receive(
    state: ReplicaState,
    request: ReplicaRequest,
    answer: ReplicaAnswer,
  ): Promise<AttemptOutcome> {
    if (answer.load && answer.matchesRequest) state.recordLoad(answer.load);
    const defect = answerDefect(answer);
    if (defect && !answer.isNotExecuted) {
      abandonBody(answer.body);
      return { kind: 'unknown', reason: defect };
    }
    const body = await readFully(answer.body, MAX_ANSWER_BYTES, this.budget);
    const declined = toDecline(answer);
    if (declined) return declined;
    if (defect) return { kind: 'unknown', reason: defect };
    if (body.isErr()) return this.outcomeOfFailure(state, request, body.error, `body: ${body.error.message}`);
    const { status, headers, signature, isFramed } = answer;
    return { kind: 'answered', answer: { status, headers, signature, isFramed, body: body.value } };
  }

  /** Returns the outcome of a failed request that may have reached the replica. */
  private async outcomeOfFailure(
    state: ReplicaState,
    { signal }: ReplicaRequest,
    { failure }: TransportError,
    reason: string,
  ): Promise<AttemptOutcome> {
    if (signal.aborted) return { kind: 'cancelled' };
    if (failure !== 'connection-lost') return { kind: 'unknown', reason };
    return { kind: 'unknown', reason, replicaCrashed: await this.crashCheck.hasCrashed(state) };
  }

  private recordOutcome(state: ReplicaState, outcome: AttemptOutcome, tookMs: number): void {
    if (outcome.kind === 'answered' && outcome.answer.status < 500) state.recordSuccess(tookMs);
    else if (outcome.kind === 'declined' && outcome.isFull) state.backOff(FULL_BACKOFF_MS);
    else if (outcome.kind === 'declined' && !outcome.isVersionMismatch) state.recordFailure();
    else if (outcome.kind === 'unknown') state.recordFailure();
  }

  private logAttempt(
    state: ReplicaState,
    request: ReplicaRequest,
    outcome: AttemptOutcome,
    tookMs: number,
    context: AttemptContext,
  ): void {
    const { service, id } = state.replica;
    const hasCrashed = outcome.kind === 'unknown' ? outcome.replicaCrashed : undefined;
    this.metrics.attempts.inc({ service, outcome: outcome.kind });
    this.logger.record({
      event: 'attempt-ended',
      requestId: request.id,
      ...context,
      service,
      replica: id,
      outcome: outcome.kind === 'answered' ? String(outcome.answer.status) : outcome.kind,
      detail: 'reason' in outcome ? outcome.reason : undefined,
      ...(hasCrashed === undefined
        ? {}
        : { digest: digestOf(request), replicaEnded: hasCrashed ? 'yes' : 'no' }),
      tookMs: Math.round(tookMs),
      inFlight: state.inFlight,
    });
  }
}
