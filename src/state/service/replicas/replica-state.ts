/**
 * State of one incarnation of a replica, learned from this node's traffic: requests in flight, health,
 * latency, load and slow start. There are no active probes; without traffic the estimates decay.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { Replica, ReplicaLoad } from '../../../protocol/service/replica.js';
import { LatencyEstimate } from './latency-estimate.js';
import { ReplicaHealth } from './replica-health.js';
import { ReportedLoad } from './reported-load.js';
import { SlowStart } from './slow-start.js';
import { StallDetector } from './stall-detector.js';

/** Weights of the newest request and of the newest event in `averageMs`. */
const REQUEST_WEIGHT = 0.2;
const EVENT_WEIGHT = 0.05;

/** Why an incarnation ended: its announcement was withdrawn, or a later incarnation is known. */
export type IncarnationEnd = 'left' | 'restarted';

export class ReplicaState {
  /** Requests of this node at the replica. */
  inFlight = 0;
  /** Average service time, or average time between events at a model replica, milliseconds; 0 if unknown. */
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

  /** Weight version of `model` at the replica, 0 if unknown. */
  versionOf(model: string): number {
    return this.replica.modelVersions.get(model) ?? 0;
  }

  /** Whether a later incarnation is known, so that the requests of this one have ended. */
  get hasRestarted(): boolean {
    return this.end === 'restarted';
  }

  /** Whether it is draining or its announcement was withdrawn, so that its end is planned and not a crash. */
  get isLeaving(): boolean {
    return this.replica.isDraining || this.end === 'left';
  }

  /** Calls `listener` once if the replica restarts. Returns a function that removes the listener. */
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

  /** Whether it is ejected or backing off; see `ReplicaHealth`. */
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

  /** Whether the limit of unanswered generation requests is reached. */
  get isAwaitingAnswers(): boolean {
    return this.health.isAwaitingAnswers(monotonicMs());
  }

  /** Whether it has declined a request and accepted none since. */
  get hasDeclined(): boolean {
    return this.health.hasDeclined;
  }

  /** Requests at the replica: those of this node, and an estimate of those of other nodes. */
  get occupied(): number {
    return this.inFlight + this.reportedLoad.requestsOfOthers(monotonicMs());
  }

  /**
   * Service time relative to the average: measured ratio times reported ratio, or the stall ratio if larger.
   */
  get latencyRatio(): number {
    const nowMs = monotonicMs();
    const silence = this.inFlight === 0 ? 0 : this.stallDetector.ratio(nowMs);
    return Math.max(this.latency.ratio(nowMs) * this.reportedLoad.latencyRatio(nowMs), silence);
  }

  /** Whether it was slow and has no recent measurement. It then gets one request at a time. */
  get isLatencyStale(): boolean {
    return this.latency.isStale(monotonicMs());
  }

  /** Time of the last request sent to it, monotonic, milliseconds. */
  get lastSentAtMs(): number {
    return this.lastRequestAtMs;
  }

  /** Whether one more request stays within the rate limit of slow start. */
  allowsInSlowStart(maxPerSecond: number): boolean {
    return this.slowStart.allows(maxPerSecond, monotonicMs());
  }

  /** Starts slow start for `forMs` milliseconds. */
  beginSlowStart(forMs: number): void {
    this.slowStart.begin(forMs, monotonicMs());
  }

  recordLatencyRatio(ratio: number): void {
    this.latency.record(ratio, monotonicMs());
  }

  recordLoad(load: ReplicaLoad): void {
    this.reportedLoad.record(load, this.inFlight, monotonicMs());
  }

  /** Records the start of an attempt. `expectedMs` is its expected service time, 0 if unknown. */
  recordAttemptStart(expectedMs = 0): void {
    this.stallDetector.recordAttemptStart(expectedMs, this.inFlight === 0, monotonicMs());
    this.inFlight += 1;
    this.recordSend();
  }

  /** Records the end of an attempt. `isAnswered` is true if the replica answered or declined it. */
  recordAttemptEnd(isAnswered: boolean): void {
    this.inFlight -= 1;
    if (isAnswered) this.stallDetector.recordAnswer(monotonicMs());
  }

  /** Records that a generation request was sent, which the replica will accept or decline. */
  recordGenerationSent(): void {
    this.health.recordSent(monotonicMs());
    this.recordSend();
  }

  /** Records that a generation request was accepted or declined, or ended before that. */
  recordGenerationSettled(): void {
    this.health.recordSettled(monotonicMs());
  }

  recordAccepted(): void {
    this.health.recordAccepted();
  }

  /** Records a request served in `tookMs`. */
  recordSuccess(tookMs: number): void {
    this.recordFinished();
    this.updateAverage(tookMs, REQUEST_WEIGHT);
  }

  /** Records a finished request whose event intervals were recorded separately. */
  recordFinished(): void {
    this.health.recordFinished();
  }

  /** Records an event received `tookMs` after the previous one. */
  recordEventInterval(tookMs: number): void {
    this.updateAverage(tookMs, EVENT_WEIGHT);
  }

  /** Records a failed attempt, which ejects the replica temporarily. */
  recordFailure(): void {
    this.health.recordFailure(monotonicMs());
  }

  /** Records a decline of a full replica. `durationMs` is the first back-off. */
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
