/** One life of a replica, with what this node has learnt of it from traffic. */
import { monotonicMs } from '../../../common/clock.js';
import type { Replica, ReplicaLoad } from '../../../protocol/service/replica.js';

/** How long a replica is avoided after a first failure, milliseconds; doubles with each further one. */
const MIN_EJECTION_MS = 250;
const MAX_EJECTION_MS = 4_000;
/** Longest pause of a replica that says that it is full, milliseconds. */
const MAX_BACKOFF_MS = 250;
/** Requests that a replica gets before it has taken or declined the first of them. */
const MAX_UNANSWERED = 3;
/** A replica that has answered nothing for this long is not waited for, milliseconds. */
const SILENCE_MS = 100;
/** Weight of the newest measurement in moving averages. */
const AVERAGE_WEIGHT = 0.2;
/**
 * Time after which half of what was measured of a replica's speed is taken to be past, milliseconds: one that was slow is tried
 * again some seconds later, with one request at a time.
 */
const LATENCY_HALF_LIFE_MS = 3_000;
/** Weight of the newest request in the mean of its slowness, and the least that one request says. */
const LATENCY_RATIO_WEIGHT = 0.15;
const MIN_LATENCY_RATIO = 0.05;
/** Beyond this a speed is that of a slow replica: twice the usual. */
const SLOW_LOG_RATIO = Math.log(2);
/** Silence for more than so many times the usual says that the replica is slow: one request in thirty takes longer than that. */
const MIN_SILENCE_RATIO = 4;
/** How long what a replica says of its load is taken as it is, milliseconds: a request lasts some tens of them. */
const LOAD_AGE_MS = 250;
const MS_PER_SECOND = 1_000;
/** What a replica says when its work takes as long as usual. */
const USUAL_PACE_PERCENT = 100;
/** Weight of the time of one event: a replica sends many. */
const EVENT_WEIGHT = 0.05;

/** Why nothing more is sent to a life of a replica: it is to leave, or the replica has started again. */
export type IncarnationEnd = 'left' | 'restarted';

/** One life of a replica with its statistics. */
export class ReplicaState {
  /** Requests of this node that it works on. */
  inFlight = 0;
  /**
   * Moving average of the service time, milliseconds: of a request, at a model replica of an event. 0 while nothing was
   * measured.
   */
  averageMs = 0;
  private failures = 0;
  private declines = 0;
  private ejectedUntilMs = 0;
  private backoffUntilMs = 0;
  private isProbed = false;
  /** Requests that were sent and neither taken nor declined yet. */
  private unanswered = 0;
  /** When it answered last, or was sent the first request that it has not answered. */
  private answeredAtMs = 0;
  private ending: IncarnationEnd | undefined;
  /** Logarithm of how many times the usual requests take there, and when that was measured. */
  private logLatencyRatio = 0;
  private latencyRatioAtMs = 0;
  /** Usual time of the longest of the requests that it has, milliseconds. */
  private longestExpectedMs = 0;
  private slowStartUntilMs = 0;
  /** When requests were sent to it while it is cold, the oldest first. */
  private readonly slowStartSends: number[] = [];
  /** When it was given a request last, and when it answered one. */
  private sentAtMs = 0;
  private answeredLastAtMs = 0;
  private load: ReplicaLoad | undefined;
  private loadAtMs = 0;
  /** Requests of others that it had when it last told its load. */
  private reportedByOthers = 0;
  private readonly restartListeners = new Set<() => void>();

  constructor(public replica: Replica) {
    if (replica.slowStartMs > 0) this.beginSlowStart(replica.slowStartMs);
  }

  get id(): string {
    return this.replica.id;
  }

  /** Whether the replica has started again since: whatever ran in this life has ended. */
  get hasRestarted(): boolean {
    return this.ending === 'restarted';
  }

  /** Whether it is leaving or has left as announced, so that its end tells nothing of the requests that it ran. */
  get isLeaving(): boolean {
    return this.replica.isDraining || this.ending === 'left';
  }

  /** Calls `listener` once if the replica starts again; call what it returns when that matters no more. */
  onRestart(listener: () => void): () => void {
    this.restartListeners.add(listener);
    return () => this.restartListeners.delete(listener);
  }

  /** Notes that the announcement is gone, or that a later life was heard of. */
  noteEnd(ending: IncarnationEnd): void {
    this.ending = ending;
    if (ending !== 'restarted') return;
    for (const listener of this.restartListeners) listener();
    this.restartListeners.clear();
  }

  /** Notes that this life is announced again after its announcement was gone. */
  noteReturn(): void {
    this.ending = undefined;
  }

  get isUnhealthy(): boolean {
    return this.isEjected || this.isBackingOff;
  }

  /** Whether it has failed lately. */
  get isEjected(): boolean {
    return monotonicMs() < this.ejectedUntilMs;
  }

  /** Whether it has said lately that it is full. */
  get isBackingOff(): boolean {
    return monotonicMs() < this.backoffUntilMs;
  }

  /** Requests that it has, of this node and, as it last told, of others. */
  get occupied(): number {
    const ageMs = monotonicMs() - this.loadAtMs;
    const others = this.load ? this.reportedByOthers * 2 ** (-ageMs / LOAD_AGE_MS) : 0;
    return this.inFlight + Math.round(others);
  }

  /**
   * How many times the usual a request takes there: as measured, less and less so the older that is; as it has kept silent over
   * what it was given, if that is longer; at the pace that it tells of itself.
   */
  get latencyRatio(): number {
    const nowMs = monotonicMs();
    const past = 1 - 2 ** (-(nowMs - this.latencyRatioAtMs) / LATENCY_HALF_LIFE_MS);
    const measured = Math.exp(this.logLatencyRatio * (1 - past));
    return Math.max(measured * this.reportedPace(nowMs), this.silenceRatio(nowMs));
  }

  /** Whether nothing was measured for so long that its speed is a guess: one request at a time finds it out. */
  get isLatencyStale(): boolean {
    return (
      this.logLatencyRatio > SLOW_LOG_RATIO && monotonicMs() - this.latencyRatioAtMs > LATENCY_HALF_LIFE_MS
    );
  }

  /** A request took `times` as long there as its kind usually does. Means are of the logarithm: a few long ones say little. */
  noteLatencyRatio(ratio: number): void {
    this.logLatencyRatio +=
      (Math.log(Math.max(ratio, MIN_LATENCY_RATIO)) - this.logLatencyRatio) * LATENCY_RATIO_WEIGHT;
    this.latencyRatioAtMs = monotonicMs();
  }

  /** Takes what it says of its load. */
  noteLoad(load: ReplicaLoad): void {
    this.load = load;
    this.loadAtMs = monotonicMs();
    this.reportedByOthers = Math.max(0, load.running + load.waiting - this.inFlight);
  }

  /** A request that usually takes `usualMs` is given to it now. */
  noteAssigned(usualMs = 0): void {
    if (this.inFlight === 0) {
      this.answeredLastAtMs = monotonicMs();
      this.longestExpectedMs = 0;
    }
    this.longestExpectedMs = Math.max(this.longestExpectedMs, usualMs);
    this.inFlight += 1;
    this.noteSending();
  }

  /** It is cold for so long from now on: it bears few requests a second, milliseconds. */
  beginSlowStart(forMs: number): void {
    this.slowStartUntilMs = monotonicMs() + forMs;
  }

  /** Whether one more request keeps within what a cold replica is to get from this node in a second. */
  allowsInSlowStart(maxPerSecond: number): boolean {
    const nowMs = monotonicMs();
    if (nowMs >= this.slowStartUntilMs) return true;
    const sinceMs = nowMs - MS_PER_SECOND * Math.max(1, 1 / maxPerSecond);
    while (this.slowStartSends.length > 0 && (this.slowStartSends[0] ?? 0) <= sinceMs)
      this.slowStartSends.shift();
    return this.slowStartSends.length < Math.max(1, Math.floor(maxPerSecond));
  }

  private noteSending(): void {
    this.sentAtMs = monotonicMs();
    if (this.sentAtMs < this.slowStartUntilMs) this.slowStartSends.push(this.sentAtMs);
  }

  /** A request that was given to it has ended; `isAnswered` says whether by a word of the replica. */
  noteReturned(isAnswered: boolean): void {
    this.inFlight -= 1;
    if (isAnswered) this.answeredLastAtMs = monotonicMs();
  }

  /** When it was given a request last, on the monotonic clock. */
  get lastAssignedAtMs(): number {
    return this.sentAtMs;
  }

  /** How many times the usual it has kept silent over what it was given; 0 while that is no sign. */
  private silenceRatio(nowMs: number): number {
    if (this.inFlight === 0 || this.longestExpectedMs === 0) return 0;
    const times = (nowMs - this.answeredLastAtMs) / this.longestExpectedMs;
    return times > MIN_SILENCE_RATIO ? times : 0;
  }

  private reportedPace(nowMs: number): number {
    const percent = this.load?.pacePercent;
    return percent === undefined || nowMs - this.loadAtMs > LOAD_AGE_MS ? 1 : percent / USUAL_PACE_PERCENT;
  }

  /** Whether it may get one more request: after a decline only one at a time, until one is taken. */
  get admitsMore(): boolean {
    if (this.declines > 0) return !this.isProbed;
    return this.unanswered < MAX_UNANSWERED || !this.isSilent;
  }

  /**
   * Whether as many requests wait for its first answer as may. Few are sent before that, so that a replica that declines
   * does not hold up many.
   */
  get isAwaitingAnswers(): boolean {
    return this.unanswered >= MAX_UNANSWERED && !this.isSilent;
  }

  private get isSilent(): boolean {
    return this.unanswered > 0 && monotonicMs() - this.answeredAtMs > SILENCE_MS;
  }

  /** Whether it declined the last request that was sent to it. */
  get hasDeclined(): boolean {
    return this.declines > 0;
  }

  /** A request was sent whose answer tells whether it takes requests. */
  noteSent(): void {
    if (this.unanswered === 0) this.answeredAtMs = monotonicMs();
    this.unanswered += 1;
    this.noteSending();
    this.isProbed = this.declines > 0;
  }

  /** It has taken or declined a request that was sent, or the request ended without an answer. */
  noteAnswered(): void {
    this.unanswered -= 1;
    this.answeredAtMs = monotonicMs();
    this.isProbed = false;
  }

  /** It takes requests. */
  noteTaken(): void {
    this.declines = 0;
    this.backoffUntilMs = 0;
    this.isProbed = false;
  }

  /** It served a request in `tookMs`. */
  noteSuccess(tookMs: number): void {
    this.noteFinished();
    this.measure(tookMs, AVERAGE_WEIGHT);
  }

  /** It finished a request whose events were measured one by one. */
  noteFinished(): void {
    this.failures = 0;
    this.ejectedUntilMs = 0;
    this.noteTaken();
  }

  /** It sent an event `tookMs` after the one before. */
  noteEvent(tookMs: number): void {
    this.measure(tookMs, EVENT_WEIGHT);
  }

  noteFailure(): void {
    const delay = Math.min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2 ** this.failures);
    this.failures += 1;
    this.ejectedUntilMs = monotonicMs() + delay;
  }

  /** Avoids the replica for a while without counting a failure: it said that it is full. Longer each time. */
  backOff(durationMs: number): void {
    this.isProbed = false;
    if (this.isUnhealthy) return;
    const delay = Math.min(MAX_BACKOFF_MS, durationMs * 2 ** this.declines);
    this.declines += 1;
    this.backoffUntilMs = monotonicMs() + delay;
  }

  /** Weight version of `model` that the replica has, 0 when unknown. */
  versionOf(model: string): number {
    return this.replica.modelVersions.get(model) ?? 0;
  }

  private measure(tookMs: number, weight: number): void {
    this.averageMs = this.averageMs === 0 ? tookMs : this.averageMs + (tookMs - this.averageMs) * weight;
  }
}
