/**
 * Retry and hedging policy of the relay as pure functions: when an attempt may start, when a hedge is sent,
 * how the outcome of an attempt is classified, and what the caller gets when no attempt is left.
 */
import type { RouteKind } from '../../../protocol/service/routing-configuration.js';
import type { QuarantineVerdict } from '../../../state/service/replicas/index.js';
import type { AttemptOutcome, BufferedAnswer } from '../dispatch/index.js';
import type { RelayOutcome } from './relayed-request.js';

/** Retry-After if the dispatcher did not provide one; short compared with timeouts. */
export const DEFAULT_RETRY_AFTER_MS = 100;
/** Fraction of the target latency after which a hedge is sent; the rest is left for its answer. */
const HEDGE_DELAY_FRACTION = 0.5;
/** Keeps routes with a low target latency from hedging every request. */
const MIN_HEDGE_DELAY_MS = 60;
/** Minimum time before the deadline at which an attempt may still start; less is too short for an answer. */
const MIN_ATTEMPT_TIME_MS = 5;
const FIRST_SERVER_ERROR_STATUS = 500;

/** Whether a request may run more than once, and so be retried after an attempt with an unknown outcome. */
export function isSafeToRetry(kind: RouteKind): boolean {
  return kind === 'safe';
}

/** Time without a response after which a hedge is sent. */
export function hedgeDelayMs(targetLatencyMs: number): number {
  return Math.max(MIN_HEDGE_DELAY_MS, targetLatencyMs * HEDGE_DELAY_FRACTION);
}

/** Whether too little time is left to start an attempt. Both times are on the monotonic clock. */
export function isTooLateToStart(nowMs: number, deadlineMs: number): boolean {
  return nowMs >= deadlineMs - MIN_ATTEMPT_TIME_MS;
}

/** State of a request that decides whether another attempt may start. */
export interface AttemptInput {
  /** Attempts without an outcome. */
  readonly pendingAttempts: number;
  /** Attempts that failed and may have run. */
  readonly failedAttempts: number;
  readonly maxAttempts: number;
  /** Whether the dispatcher rejected the request, which ends its attempts. */
  readonly isDeclined: boolean;
  readonly isHedged: boolean;
  readonly verdict: QuarantineVerdict;
}

/** Whether an attempt may start. Requests suspected of crashing replicas are not hedged. */
export function mayStartAttempt(input: AttemptInput): boolean {
  const { pendingAttempts, failedAttempts, maxAttempts, isDeclined, isHedged, verdict } = input;
  if (isDeclined || failedAttempts + pendingAttempts >= maxAttempts || verdict.kind === 'held') return false;
  return pendingAttempts === 0 || (isHedged && verdict.kind === 'clear');
}

/** Meaning of an attempt's outcome for its request. */
export type OutcomeClass =
  | { readonly kind: 'answer'; readonly answer: BufferedAnswer; readonly isServed: boolean }
  /** No effect: the attempt was aborted, or no slot was free for a hedge. */
  | { readonly kind: 'ignored' }
  /** Rejected by the dispatcher. Did not run. */
  | { readonly kind: 'declined'; readonly reason: string }
  /** May have run. `isFinal`: must not be retried, since the request may run only once. */
  | {
      readonly kind: 'failed';
      readonly reason: string;
      readonly isFinal: boolean;
      readonly answer?: BufferedAnswer;
    };

/** Classifies an attempt's outcome. An error status is final for requests that may run only once. */
export function classifyOutcome(
  outcome: AttemptOutcome,
  isHedge: boolean,
  isRepeatable: boolean,
): OutcomeClass {
  if (outcome.kind === 'cancelled') return { kind: 'ignored' };
  if (outcome.kind === 'declined')
    return isHedge ? { kind: 'ignored' } : { kind: 'declined', reason: outcome.reason };
  if (outcome.kind === 'unknown') return { kind: 'failed', reason: outcome.reason, isFinal: !isRepeatable };
  const { answer } = outcome;
  const isServed = answer.status < FIRST_SERVER_ERROR_STATUS;
  if (isServed || !isRepeatable) return { kind: 'answer', answer, isServed };
  return { kind: 'failed', reason: `status ${answer.status}`, isFinal: false, answer };
}

/** State of a request for which no attempt is left. */
export interface ExhaustedInput {
  readonly lastErrorAnswer: BufferedAnswer | undefined;
  readonly verdict: QuarantineVerdict;
  readonly mayHaveRun: boolean;
  readonly lastReason: string;
  readonly retryAfterMs: number;
  readonly attempts: readonly string[];
}

/**
 * Outcome when no attempt is left: the last error response of a replica; otherwise, if the request did not
 * run, a rejection with Retry-After, which for a quarantined request is the end of the quarantine; otherwise
 * a failure.
 */
export function exhaustedOutcome(input: ExhaustedInput): RelayOutcome {
  const { lastErrorAnswer, verdict, mayHaveRun, attempts } = input;
  if (lastErrorAnswer) return { kind: 'answered', answer: lastErrorAnswer, attempts };
  const isQuarantined = verdict.kind === 'held';
  const reason = isQuarantined
    ? `quarantined: ${verdict.ends} replicas crashed while running it`
    : input.lastReason;
  if (mayHaveRun) return { kind: 'failed', reason, isTimeout: false, attempts };
  const retryAfterMs = isQuarantined ? verdict.retryAfterMs : input.retryAfterMs;
  return { kind: 'refused', reason, retryAfterMs, attempts };
}
