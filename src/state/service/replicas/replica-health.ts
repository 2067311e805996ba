/**
 * Health of one replica, as this node learns it from its own attempts. The states, of which several may hold:
 * - ejected: the last attempts failed; for a while, longer with each failure, until a request is finished
 * - backing off: it declined a request as full; for a while, longer with each decline, until one is taken
 * - probed: it declined its last request; generation requests are sent one at a time until one is taken
 * - awaiting answers: of some generation requests; no more are sent until one is taken or declined
 *
 * "Unhealthy" is ejected or backing off. Slow is not unhealthy. Times are on the monotonic clock.
 */
import { exponentialBackoffMs } from '../../../common/backoff.js';

/** First and longest ejection, milliseconds; doubles with each failure. Chosen, not measured. */
const MIN_EJECTION_MS = 250;
const MAX_EJECTION_MS = 4_000;
/** Longest back-off, milliseconds. Chosen, not measured: slots become free soon. */
const MAX_BACKOFF_MS = 250;
/** Requests that may await an answer. Chosen, not measured: what one decline may cost in delayed requests. */
const MAX_UNANSWERED = 3;
/** Time without an answer after which a replica is silent, milliseconds. Chosen, not measured. */
const STALL_TIMEOUT_MS = 100;

export class ReplicaHealth {
  private consecutiveFailures = 0;
  private consecutiveDeclines = 0;
  private ejectedUntilMs = 0;
  private backoffUntilMs = 0;
  private isProbeInFlight = false;
  /** Requests that were sent and neither taken nor declined yet. */
  private unanswered = 0;
  /** Time of the last answer, or of the first request that awaits one. */
  private lastAnswerAtMs = 0;

  isEjected(nowMs: number): boolean {
    return nowMs < this.ejectedUntilMs;
  }

  isBackingOff(nowMs: number): boolean {
    return nowMs < this.backoffUntilMs;
  }

  allowsGeneration(nowMs: number): boolean {
    if (this.consecutiveDeclines > 0) return !this.isProbeInFlight;
    return this.unanswered < MAX_UNANSWERED || !this.isStalled(nowMs);
  }

  isAwaitingAnswers(nowMs: number): boolean {
    return this.unanswered >= MAX_UNANSWERED && !this.isStalled(nowMs);
  }

  get hasDeclined(): boolean {
    return this.consecutiveDeclines > 0;
  }

  recordSent(nowMs: number): void {
    if (this.unanswered === 0) this.lastAnswerAtMs = nowMs;
    this.unanswered += 1;
    this.isProbeInFlight = this.consecutiveDeclines > 0;
  }

  recordSettled(nowMs: number): void {
    this.unanswered -= 1;
    this.lastAnswerAtMs = nowMs;
    this.isProbeInFlight = false;
  }

  /** It takes requests: a back-off ends. */
  recordAccepted(): void {
    this.consecutiveDeclines = 0;
    this.backoffUntilMs = 0;
    this.isProbeInFlight = false;
  }

  /** It finished a request: an ejection ends as well. */
  recordFinished(): void {
    this.consecutiveFailures = 0;
    this.ejectedUntilMs = 0;
    this.recordAccepted();
  }

  recordFailure(nowMs: number): void {
    this.ejectedUntilMs =
      nowMs + exponentialBackoffMs(MIN_EJECTION_MS, this.consecutiveFailures, MAX_EJECTION_MS);
    this.consecutiveFailures += 1;
  }

  /** It declined a request since it is full; counts once while it is unhealthy. */
  backOff(durationMs: number, nowMs: number): void {
    this.isProbeInFlight = false;
    if (this.isEjected(nowMs) || this.isBackingOff(nowMs)) return;
    this.backoffUntilMs = nowMs + exponentialBackoffMs(durationMs, this.consecutiveDeclines, MAX_BACKOFF_MS);
    this.consecutiveDeclines += 1;
  }

  private isStalled(nowMs: number): boolean {
    return this.unanswered > 0 && nowMs - this.lastAnswerAtMs > STALL_TIMEOUT_MS;
  }
}
