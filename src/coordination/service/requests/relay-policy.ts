/**
 * Rules of the relay, as pure functions: when an attempt may start, when a hedge is sent, what the outcome of
 * an attempt means, and what the caller gets when no attempt is left. `relay-run.ts` applies them and holds
 * the state.
 */
import type { RouteKind } from '../../../protocol/service/routing-configuration.js';
import type { QuarantineVerdict } from '../../../state/service/replicas/index.js';
import type { AttemptOutcome, BufferedAnswer } from '../dispatch/index.js';
import type { RelayOutcome } from './relayed-request.js';

/** Retry-After where the dispatcher named none, ms. Chosen, not measured: short against time-outs. */
export const DEFAULT_RETRY_AFTER_MS = 100;
/** Share of the target latency after which a hedge is sent. Chosen, not measured: half is left to answer. */
const HEDGE_DELAY_FRACTION = 0.5;
/** Least delay of a hedge, milliseconds. Chosen, not measured: a low target must not double every request. */
const MIN_HEDGE_DELAY_MS = 60;
/** Least remaining time in which an attempt starts, ms. Chosen, not measured: too short to be answered. */
const MIN_ATTEMPT_TIME_MS = 5;
/** Statuses from here on are failures of the replica. */
const FIRST_SERVER_ERROR_STATUS = 500;

/** Whether a request may run more than once, and so be retried after an attempt that may have run. */
export function isSafeToRetry(kind: RouteKind): boolean {
  return kind === 'safe';
}

/** Time without an answer after which a hedge is sent, milliseconds, from the route's target latency. */
export function hedgeDelayMs(targetLatencyMs: number): number {
  return Math.max(MIN_HEDGE_DELAY_MS, targetLatencyMs * HEDGE_DELAY_FRACTION);
}

/** Whether too little time is left to start an attempt; both on the monotonic clock, milliseconds. */
export function isTooLateToStart(nowMs: number, deadlineMs: number): boolean {
  return nowMs >= deadlineMs - MIN_ATTEMPT_TIME_MS;
}

/** What decides on another attempt. */
export interface AttemptInput {
  /** Attempts that have no outcome yet. */
  readonly pendingAttempts: number;
  /** Attempts that failed and may have run. */
  readonly failedAttempts: number;
  readonly maxAttempts: number;
  /** Whether the dispatcher rejected the request: it is not sent again. */
  readonly isDeclined: boolean;
  readonly isHedged: boolean;
  readonly verdict: QuarantineVerdict;
}

/** Whether an attempt may start, beside pending ones or alone. A suspected request gets no hedge. */
export function mayStartAttempt(input: AttemptInput): boolean {
  const { pendingAttempts, failedAttempts, maxAttempts, isDeclined, isHedged, verdict } = input;
  if (isDeclined || failedAttempts + pendingAttempts >= maxAttempts || verdict.kind === 'held') return false;
  return pendingAttempts === 0 || (isHedged && verdict.kind === 'clear');
}

/** What the outcome of an attempt means for its request. */
export type OutcomeClass =
  | { readonly kind: 'answer'; readonly answer: BufferedAnswer; readonly isServed: boolean }
  /** No outcome of the request: an attempt that was aborted, or a hedge for which there was no slot. */
  | { readonly kind: 'ignored' }
  /** Rejected by the dispatcher; has not run. */
  | { readonly kind: 'declined'; readonly reason: string }
  /** May have run. `isFinal`: it must not run twice, so that there is no other attempt. */
  | {
      readonly kind: 'failed';
      readonly reason: string;
      readonly isFinal: boolean;
      readonly answer?: BufferedAnswer;
    };

/** Judges an attempt's outcome. An error status is the final answer where a request must not run twice. */
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

/** What is known of a request for which no attempt is left. */
export interface ExhaustedInput {
  readonly lastErrorAnswer: BufferedAnswer | undefined;
  readonly verdict: QuarantineVerdict;
  readonly mayHaveRun: boolean;
  readonly lastReason: string;
  readonly retryAfterMs: number;
  readonly attempts: readonly string[];
}

/**
 * What the caller gets when no attempt is left: the last error of a replica; else, where it has not run, a
 * rejection with Retry-After, which for a quarantined request is the end of its quarantine; else a failure
 * that promises nothing.
 */
export function exhaustedOutcome(input: ExhaustedInput): RelayOutcome {
  const { lastErrorAnswer, verdict, mayHaveRun, attempts } = input;
  if (lastErrorAnswer) return { kind: 'answered', answer: lastErrorAnswer, attempts };
  const isQuarantined = verdict.kind === 'held';
  const reason = isQuarantined ? `${verdict.ends} replicas have ended under this request` : input.lastReason;
  if (mayHaveRun) return { kind: 'failed', reason, isTimeout: false, attempts };
  const retryAfterMs = isQuarantined ? verdict.retryAfterMs : input.retryAfterMs;
  return { kind: 'refused', reason, retryAfterMs, attempts };
}
