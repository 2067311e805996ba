/**
 * Health of one replica, as this node learns it from its own attempts. The states, of which several may hold:
 * - ejected: the last attempts failed; for a while, longer with each failure, until a request is finished
 * - backing off: it declined a request as full; for a while, longer with each decline, until one is taken
 * - probed: it declined its last request; generation requests are sent one at a time until one is taken
 * - awaiting answers: of some generation requests; no more are sent until one is taken or declined
 *
 * "Unhealthy" is ejected or backing off. Slow is not unhealthy. Times are on the monotonic clock.
 */
import { exponentialMs } from '../../../common/backoff.js';

/** First and longest ejection, milliseconds; doubles with each failure. Chosen, not measured. */
const MIN_EJECTION_MS = 250;
const MAX_EJECTION_MS = 4_000;
/** Longest back-off, milliseconds. Chosen, not measured: slots become free soon. */
const MAX_BACKOFF_MS = 250;
/** Requests that may await an answer. Chosen, not measured: what one decline may cost in delayed requests. */
const MAX_UNANSWERED = 3;
/** Time without an answer after which a replica is silent, milliseconds. Chosen, not measured. */
const SILENCE_MS = 100;

export class ReplicaHealth {
  private failures = 0;
  private declines = 0;
  private ejectedUntilMs = 0;
  private backoffUntilMs = 0;
  private isProbed = false;
  /** Requests that were sent and neither taken nor declined yet. */
  private unanswered = 0;
  /** Time of the last answer, or of the first request that awaits one. */
  private answeredAtMs = 0;

  isEjected(nowMs: number): boolean {
    return nowMs < this.ejectedUntilMs;
  }

  isBackingOff(nowMs: number): boolean {
    return nowMs < this.backoffUntilMs;
  }

  admitsMore(nowMs: number): boolean {
    if (this.declines > 0) return !this.isProbed;
    return this.unanswered < MAX_UNANSWERED || !this.isSilent(nowMs);
  }

  isAwaitingAnswers(nowMs: number): boolean {
    return this.unanswered >= MAX_UNANSWERED && !this.isSilent(nowMs);
  }

  get hasDeclined(): boolean {
    return this.declines > 0;
  }

  noteSent(nowMs: number): void {
    if (this.unanswered === 0) this.answeredAtMs = nowMs;
    this.unanswered += 1;
    this.isProbed = this.declines > 0;
  }

  noteAnswered(nowMs: number): void {
    this.unanswered -= 1;
    this.answeredAtMs = nowMs;
    this.isProbed = false;
  }

  /** It takes requests: a back-off ends. */
  noteTaken(): void {
    this.declines = 0;
    this.backoffUntilMs = 0;
    this.isProbed = false;
  }

  /** It finished a request: an ejection ends as well. */
  noteFinished(): void {
    this.failures = 0;
    this.ejectedUntilMs = 0;
    this.noteTaken();
  }

  noteFailure(nowMs: number): void {
    this.ejectedUntilMs = nowMs + exponentialMs(MIN_EJECTION_MS, this.failures, MAX_EJECTION_MS);
    this.failures += 1;
  }

  /** It declined a request since it is full; counts once while it is unhealthy. */
  backOff(durationMs: number, nowMs: number): void {
    this.isProbed = false;
    if (this.isEjected(nowMs) || this.isBackingOff(nowMs)) return;
    this.backoffUntilMs = nowMs + exponentialMs(durationMs, this.declines, MAX_BACKOFF_MS);
    this.declines += 1;
  }

  private isSilent(nowMs: number): boolean {
    return this.unanswered > 0 && nowMs - this.answeredAtMs > SILENCE_MS;
  }
}
