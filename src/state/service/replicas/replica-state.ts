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
import { ResponseSilence } from './response-silence.js';
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
  private ending: IncarnationEnd | undefined;
  private sentAtMs = 0;
  private readonly health = new ReplicaHealth();
  private readonly latency = new LatencyEstimate();
  private readonly silence = new ResponseSilence();
  private readonly reported = new ReportedLoad();
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
    return this.ending === 'restarted';
  }

  /** Whether it is draining or its announcement is gone: its end is planned, and no crash. */
  get isLeaving(): boolean {
    return this.replica.isDraining || this.ending === 'left';
  }

  /** Calls `listener` once if the replica restarts; returns the function that removes the listener. */
  onRestart(listener: () => void): () => void {
    this.restartListeners.add(listener);
    return () => this.restartListeners.delete(listener);
  }

  noteEnd(ending: IncarnationEnd): void {
    this.ending = ending;
    if (ending !== 'restarted') return;
    for (const listener of this.restartListeners) listener();
    this.restartListeners.clear();
  }

  noteReturn(): void {
    this.ending = undefined;
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
  get admitsMore(): boolean {
    return this.health.admitsMore(monotonicMs());
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
    return this.inFlight + this.reported.others(monotonicMs());
  }

  /** Service time over the usual one: measured times the reported pace, or its silence if longer. */
  get latencyRatio(): number {
    const nowMs = monotonicMs();
    const silence = this.inFlight === 0 ? 0 : this.silence.ratio(nowMs);
    return Math.max(this.latency.ratio(nowMs) * this.reported.pace(nowMs), silence);
  }

  /** Whether it was slow and has not been measured since: it gets one request at a time. */
  get isLatencyStale(): boolean {
    return this.latency.isStale(monotonicMs());
  }

  /** Time of the last request that was sent to it, on the monotonic clock, milliseconds. */
  get lastAssignedAtMs(): number {
    return this.sentAtMs;
  }

  /** Whether one more request keeps the limit of slow start. */
  allowsInSlowStart(maxPerSecond: number): boolean {
    return this.slowStart.allows(maxPerSecond, monotonicMs());
  }

  /** Puts it into slow start for `forMs` milliseconds from now. */
  beginSlowStart(forMs: number): void {
    this.slowStart.begin(forMs, monotonicMs());
  }

  noteLatencyRatio(ratio: number): void {
    this.latency.note(ratio, monotonicMs());
  }

  noteLoad(load: ReplicaLoad): void {
    this.reported.note(load, this.inFlight, monotonicMs());
  }

  /** Notes that a request is sent whose expected time is `expectedMs`, 0 where it is not known. */
  noteAssigned(expectedMs = 0): void {
    this.silence.noteAssigned(expectedMs, this.inFlight === 0, monotonicMs());
    this.inFlight += 1;
    this.noteSending();
  }

  /** Notes that a request has ended; `isAnswered` when the replica answered or declined it. */
  noteReturned(isAnswered: boolean): void {
    this.inFlight -= 1;
    if (isAnswered) this.silence.noteAnswered(monotonicMs());
  }

  /** Notes that a generation request is sent, which it is to take or decline. */
  noteSent(): void {
    this.health.noteSent(monotonicMs());
    this.noteSending();
  }

  /** Notes that it took or declined a generation request, or that the request ended before. */
  noteAnswered(): void {
    this.health.noteAnswered(monotonicMs());
  }

  noteTaken(): void {
    this.health.noteTaken();
  }

  /** Notes that it served a request in `tookMs`. */
  noteSuccess(tookMs: number): void {
    this.noteFinished();
    this.measure(tookMs, REQUEST_WEIGHT);
  }

  /** Notes that it finished a request whose events were measured one by one. */
  noteFinished(): void {
    this.health.noteFinished();
  }

  /** Notes that it sent an event `tookMs` after the one before. */
  noteEvent(tookMs: number): void {
    this.measure(tookMs, EVENT_WEIGHT);
  }

  /** Notes a failed attempt: it is ejected for a while. */
  noteFailure(): void {
    this.health.noteFailure(monotonicMs());
  }

  /** Notes that it declined a request since it is full; the first back-off takes `durationMs`. */
  backOff(durationMs: number): void {
    this.health.backOff(durationMs, monotonicMs());
  }

  private noteSending(): void {
    this.sentAtMs = monotonicMs();
    this.slowStart.noteSent(this.sentAtMs);
  }

  private measure(tookMs: number, weight: number): void {
    this.averageMs = this.averageMs === 0 ? tookMs : this.averageMs + (tookMs - this.averageMs) * weight;
  }
}
