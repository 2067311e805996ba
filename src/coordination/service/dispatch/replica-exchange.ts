/**
 * One attempt at one replica, and what its outcome allows: whether the request ran, and whether the answer
 * counts.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type { ReplicaAnswer, ReplicaClient, ReplicaRequest } from '../../../protocol/service/replica.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import { readFully } from '../../../transport/http-client.js';
import type { TransportError } from '../../../transport/transport-error.js';
import type { CrashCheck } from './crash-check.js';
import { digestOf } from './request-digest.js';

/** An answer is held in memory up to this size, bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** How long a replica that said that it is full is avoided, milliseconds. */
const FULL_BACKOFF_MS = 60;

/** An answer read whole. */
export interface BufferedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  readonly signature: string | undefined;
  /** False when the answer ended with its connection, so that it may have been cut. */
  readonly isFramed: boolean;
}

/** The outcome of one attempt. */
export type AttemptOutcome =
  /** The replica's whole answer. */
  | { readonly kind: 'answered'; readonly answer: BufferedAnswer }
  /** Certainly not run. */
  | { readonly kind: 'declined'; readonly reason: string; readonly isFull: boolean }
  /** May have run; there is no answer to pass on. */
  | {
      readonly kind: 'unknown';
      readonly reason: string;
      /** Told when the connection broke under the request: whether its replica has certainly ended. */
      readonly replicaCrashed?: boolean;
    }
  /** Given up because the caller left or the time was over. */
  | { readonly kind: 'cancelled' };

/** What identifies a request in the logs. */
export interface AttemptContext {
  readonly configVersion: number;
  readonly jobId?: string;
  readonly group?: string;
}

/** What is known of an attempt besides. */
export interface AttemptTerms extends AttemptContext {
  /** Usual time of such a request, milliseconds; 0 where it is not known. */
  readonly expectedMs: number;
}

/** Why the head of an answer does not count, `undefined` when it does. */
export function defectOf(answer: ReplicaAnswer): string | undefined {
  if (!answer.isForRequest) return 'the answer belongs to another request';
  if (answer.isEncoded) return 'the body is encoded';
  if (answer.status >= 200 && answer.status < 300 && !answer.signature) return 'the success is not signed';
  return undefined;
}

/** Sends requests to replicas and keeps their statistics. */
export class ReplicaExchange {
  constructor(
    readonly client: ReplicaClient,
    private readonly endCheck: CrashCheck,
    private readonly metrics: ServiceMetrics,
    private readonly logger: DecisionLogger,
  ) {}

  /** Sends a request and reads the answer whole. Never rejects. */
  async attempt(
    state: ReplicaState,
    request: ReplicaRequest,
    { expectedMs, ...context }: AttemptTerms,
  ): Promise<AttemptOutcome> {
    const startedAt = monotonicMs();
    state.noteAssigned(expectedMs);
    const outcome = await this.exchangeWhileAlive(state, request);
    state.noteReturned(outcome.kind === 'answered' || outcome.kind === 'declined');
    const tookMs = monotonicMs() - startedAt;
    this.noteOutcome(state, outcome, tookMs);
    this.report(state, request, outcome, tookMs, context);
    return outcome;
  }

  /**
   * A replica that has started again runs nothing of before: what was sent to it may have run, and is not
   * waited for.
   */
  private async exchangeWhileAlive(state: ReplicaState, request: ReplicaRequest): Promise<AttemptOutcome> {
    const controller = new AbortController();
    const abort = () => controller.abort();
    const forget = state.onRestart(abort);
    request.signal.addEventListener('abort', abort, { once: true });
    if (request.signal.aborted) abort();
    try {
      const outcome = await this.exchange(state, { ...request, signal: controller.signal });
      if (outcome.kind !== 'cancelled' || request.signal.aborted) return outcome;
      return { kind: 'unknown', reason: 'the replica has started again', replicaCrashed: true };
    } finally {
      forget();
      request.signal.removeEventListener('abort', abort);
    }
  }

  private async exchange(state: ReplicaState, request: ReplicaRequest): Promise<AttemptOutcome> {
    const sent = await this.client.dispatch(state.replica, request);
    if (sent.isErr()) {
      const { failure, requestSent, message } = sent.error;
      if (request.signal.aborted) return { kind: 'cancelled' };
      if (!requestSent) return { kind: 'declined', reason: `${failure}: ${message}`, isFull: false };
      return this.broken(state, sent.error, `${failure}: ${message}`);
    }
    const answer = sent.value;
    if (answer.load && answer.isForRequest) state.noteLoad(answer.load);
    const defect = defectOf(answer);
    if (defect && !answer.isNotExecuted) {
      answer.body.destroy();
      return { kind: 'unknown', reason: defect };
    }
    const body = await readFully(answer.body, MAX_ANSWER_BYTES);
    if (answer.isNotExecuted && answer.isForRequest)
      return { kind: 'declined', reason: `status ${answer.status}`, isFull: answer.status !== 421 };
    if (answer.isNotExecuted && answer.status === 421)
      return { kind: 'declined', reason: 'another replica has the address', isFull: false };
    if (defect) return { kind: 'unknown', reason: defect };
    if (body.isErr()) {
      if (request.signal.aborted) return { kind: 'cancelled' };
      return this.broken(state, body.error, `body: ${body.error.message}`);
    }
    const { status, headers, signature, isFramed } = answer;
    return { kind: 'answered', answer: { status, headers, signature, isFramed, body: body.value } };
  }

  private async broken(
    state: ReplicaState,
    { failure }: TransportError,
    reason: string,
  ): Promise<AttemptOutcome> {
    if (failure !== 'connection-lost') return { kind: 'unknown', reason };
    return { kind: 'unknown', reason, replicaCrashed: await this.endCheck.hasCrashed(state) };
  }

  private noteOutcome(state: ReplicaState, outcome: AttemptOutcome, tookMs: number): void {
    if (outcome.kind === 'answered' && outcome.answer.status < 500) state.noteSuccess(tookMs);
    else if (outcome.kind === 'declined' && outcome.isFull) state.backOff(FULL_BACKOFF_MS);
    else if (outcome.kind === 'declined' || outcome.kind === 'unknown') state.noteFailure();
  }

  private report(
    state: ReplicaState,
    request: ReplicaRequest,
    outcome: AttemptOutcome,
    tookMs: number,
    context: AttemptContext,
  ): void {
    const { service, id } = state.replica;
    const replicaEnded = outcome.kind === 'unknown' ? outcome.replicaCrashed : undefined;
    this.metrics.attempts.inc({ service, outcome: outcome.kind });
    this.logger.record({
      event: 'attempt-ended',
      requestId: request.id,
      ...context,
      service,
      replica: id,
      outcome: outcome.kind === 'answered' ? String(outcome.answer.status) : outcome.kind,
      detail: 'reason' in outcome ? outcome.reason : undefined,
      ...(replicaEnded === undefined
        ? {}
        : { digest: digestOf(request), replicaEnded: replicaEnded ? 'yes' : 'no' }),
      tookMs: Math.round(tookMs),
      inFlight: state.inFlight,
    });
  }
}
