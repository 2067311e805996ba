/**
 * One incarnation of a replica, with what this node learnt of it from traffic. Owns the requests in flight,
 * the health and the estimates of speed, load and slow start; all of it is lost with the process or the
 * incarnation. Nothing is probed: without traffic the estimates fade.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { Replica, ReplicaLoad } from '../../../protocol/service/replica.js';
import { LatencyEstimate } from './latency-estimate.js';
import { ReplicaHealth } from './replica-health.js';
import { ReportedLoad } from './reported-load.js';
import { StallDetector } from './response-silence.js';
import { SlowStart } from './slow-start.js';

/** Weights of the newest request and of the newest event in `averageMs`. Chosen, not measured. */
const REQUEST_WEIGHT = 0.2;
const EVENT_WEIGHT = 0.05;

/** Why nothing more is sent to an incarnation: its announcement is gone, or a later incarnation is known. */
export type IncarnationEnd = 'left' | 'restarted';

export class ReplicaState {
  /** Requests of this node that it has. */
  inFlight = 0;
  /** Mean service time, at a model replica time between events, milliseconds; 0 if unknown. */
  averageMs = 0;
  private end: IncarnationEnd | undefined;
  private lastRequestAtMs = 0;
  private readonly health = new ReplicaHealth();
  private readonly latency = new LatencyEstimate();
  private readonly stallDetector = new StallDetector();
  private readonly reportedLoad = new ReportedLoad();
  private readonly slowStart = new SlowStart();
  private readonly restartListeners = new Set<() => void>();

  constructor(public replica: Replica) {
    if (replica.slowStartMs > 0) this.beginSlowStart(replica.slowStartMs);
  }

  get id(): string {
    return this.replica.id;
  }

  /** Weight version of `model` that the replica has, 0 when unknown. */
  versionOf(model: string): number {
    return this.replica.modelVersions.get(model) ?? 0;
  }

  /** Whether a later incarnation is known: whatever ran in this one has ended. */
  get hasRestarted(): boolean {
    return this.end === 'restarted';
  }

  /** Whether it is draining or its announcement is gone: its end is planned, and no crash. */
  get isLeaving(): boolean {
    return this.replica.isDraining || this.end === 'left';
  }

  /** Calls `listener` once if the replica restarts; returns the function that removes the listener. */
  onRestart(listener: () => void): () => void {
    this.restartListeners.add(listener);
    return () => this.restartListeners.delete(listener);
  }

  recordEnd(ending: IncarnationEnd): void {
    this.end = ending;
    if (ending !== 'restarted') return;
    for (const listener of this.restartListeners) listener();
    this.restartListeners.clear();
  }

  clearEnd(): void {
    this.end = undefined;
  }

  /** Whether it is ejected or backing off; the states are described at `ReplicaHealth`. */
  get isUnhealthy(): boolean {
    return this.isEjected || this.isBackingOff;
  }

  get isEjected(): boolean {
    return this.health.isEjected(monotonicMs());
  }

  get isBackingOff(): boolean {
    return this.health.isBackingOff(monotonicMs());
  }

  /** Whether one more generation request may be sent. */
  get allowsGeneration(): boolean {
    return this.health.allowsGeneration(monotonicMs());
  }

  /** Whether as many generation requests as may be sent await its answer. */
  get isAwaitingAnswers(): boolean {
    return this.health.isAwaitingAnswers(monotonicMs());
  }

  /** Whether it declined the last request that it answered. */
  get hasDeclined(): boolean {
    return this.health.hasDeclined;
  }

  /** Requests that it has, of this node and, by its last report, of others. */
  get occupied(): number {
    return this.inFlight + this.reportedLoad.requestsOfOthers(monotonicMs());
  }

  /** Service time over the usual one: measured times the reported pace, or its silence if longer. */
  get latencyRatio(): number {
    const nowMs = monotonicMs();
    const silence = this.inFlight === 0 ? 0 : this.stallDetector.ratio(nowMs);
    return Math.max(this.latency.ratio(nowMs) * this.reportedLoad.latencyRatio(nowMs), silence);
  }

  /** Whether it was slow and has not been measured since: it gets one request at a time. */
  get isLatencyStale(): boolean {
    return this.latency.isStale(monotonicMs());
  }

  /** Time of the last request that was sent to it, on the monotonic clock, milliseconds. */
  get lastSentAtMs(): number {
    return this.lastRequestAtMs;
  }

  /** Whether one more request keeps the limit of slow start. */
  allowsInSlowStart(maxPerSecond: number): boolean {
    return this.slowStart.allows(maxPerSecond, monotonicMs());
  }

  /** Puts it into slow start for `forMs` milliseconds from now. */
  beginSlowStart(forMs: number): void {
    this.slowStart.begin(forMs, monotonicMs());
  }

  recordLatencyRatio(ratio: number): void {
    this.latency.record(ratio, monotonicMs());
  }

  recordLoad(load: ReplicaLoad): void {
    this.reportedLoad.record(load, this.inFlight, monotonicMs());
  }

  /** Notes that a request is sent whose expected time is `expectedMs`, 0 where it is not known. */
  recordAttemptStart(expectedMs = 0): void {
    this.stallDetector.recordAttemptStart(expectedMs, this.inFlight === 0, monotonicMs());
    this.inFlight += 1;
    this.recordSend();
  }

  /** Notes that a request has ended; `isAnswered` when the replica answered or declined it. */
  recordAttemptEnd(isAnswered: boolean): void {
    this.inFlight -= 1;
    if (isAnswered) this.stallDetector.recordAnswer(monotonicMs());
  }

  /** Notes that a generation request is sent, which it is to take or decline. */
  recordGenerationSent(): void {
    this.health.recordSent(monotonicMs());
    this.recordSend();
  }

  /** Notes that it took or declined a generation request, or that the request ended before. */
  recordGenerationSettled(): void {
    this.health.recordSettled(monotonicMs());
  }

  recordAccepted(): void {
    this.health.recordAccepted();
  }

  /** Notes that it served a request in `tookMs`. */
  recordSuccess(tookMs: number): void {
    this.recordFinished();
    this.updateAverage(tookMs, REQUEST_WEIGHT);
  }

  /** Notes that it finished a request whose events were measured one by one. */
  recordFinished(): void {
    this.health.recordFinished();
  }

  /** Notes that it sent an event `tookMs` after the one before. */
  recordEventInterval(tookMs: number): void {
    this.updateAverage(tookMs, EVENT_WEIGHT);
  }

  /** Notes a failed attempt: it is ejected for a while. */
  recordFailure(): void {
    this.health.recordFailure(monotonicMs());
  }

  /** Notes that it declined a request since it is full; the first back-off takes `durationMs`. */
  backOff(durationMs: number): void {
    this.health.backOff(durationMs, monotonicMs());
  }

  private recordSend(): void {
    this.lastRequestAtMs = monotonicMs();
    this.slowStart.recordSent(this.lastRequestAtMs);
  }

  private updateAverage(tookMs: number, weight: number): void {
    this.averageMs = this.averageMs === 0 ? tookMs : this.averageMs + (tookMs - this.averageMs) * weight;
  }
}
