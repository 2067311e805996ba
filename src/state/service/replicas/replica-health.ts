/**
 * Passive health check of one replica from this node's own attempts. Several states can hold at once:
 * - ejected: an attempt failed. Lasts longer with each failure and ends when a request finishes.
 * - backing off: it declined a request as full. Lasts longer with each decline and ends when one is accepted.
 * - probing: after a decline, generation requests are sent one at a time until one is accepted.
 * - awaiting answers: too many generation requests are unanswered, so no more are sent.
 *
 * Unhealthy means ejected or backing off; a slow replica is not unhealthy. Times are monotonic milliseconds.
 */
import { exponentialBackoffMs } from '../../../common/backoff.js';

/** First and longest ejection, milliseconds. Doubles with each failure. */
const MIN_EJECTION_MS = 250;
const MAX_EJECTION_MS = 4_000;
/** Longest back-off, milliseconds; short, since slots become free soon. */
const MAX_BACKOFF_MS = 250;
/** Generation requests that may be unanswered at a time; bounds how many one decline delays. */
const MAX_UNANSWERED = 3;
/** Time without an answer after which a replica counts as stalled, milliseconds. */
const STALL_TIMEOUT_MS = 100;

export class ReplicaHealth {
  private consecutiveFailures = 0;
  private consecutiveDeclines = 0;
  private ejectedUntilMs = 0;
  private backoffUntilMs = 0;
  private isProbeInFlight = false;
  /** Requests that were sent but neither accepted nor declined. */
  private unanswered = 0;
  /** Time of the last answer, or of the first unanswered request if that is later. */
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

  /** The replica accepted a request, which ends a back-off. */
  recordAccepted(): void {
    this.consecutiveDeclines = 0;
    this.backoffUntilMs = 0;
    this.isProbeInFlight = false;
  }

  /** The replica finished a request, which also ends an ejection. */
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

  /**
   * The replica declined a request as full. Ignored while it is unhealthy, so that concurrent declines count
   * once.
   */
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
