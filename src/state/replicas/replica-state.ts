/** One life of a replica, with what this node has learnt of it from traffic. */
import { monotonicMs } from '../../common/clock.js';
import type { Replica } from '../../protocol/replica.js';

/** How long a replica is avoided after a first failure, milliseconds; doubles with each further one. */
const SUSPICION_BASE_MS = 250;
const SUSPICION_MAX_MS = 4_000;
/** Longest pause of a replica that says that it is full, milliseconds. */
const PAUSE_MAX_MS = 250;
/** Requests that a replica gets before it has taken or declined the first of them. */
const MAX_UNANSWERED = 3;
/** A replica that has answered nothing for this long is not waited for, milliseconds. */
const SILENCE_MS = 100;
/** Weight of the newest measurement in moving averages. */
const AVERAGE_WEIGHT = 0.2;
/** Weight of the time of one event: a replica sends many. */
const EVENT_WEIGHT = 0.05;

/** Why nothing more is sent to a life of a replica: it is to leave, or the replica has started again. */
export type LifeEnd = 'left' | 'restarted';

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
  private avoidUntilMs = 0;
  private pausedUntilMs = 0;
  private isProbed = false;
  /** Requests that were sent and neither taken nor declined yet. */
  private unanswered = 0;
  /** When it answered last, or was sent the first request that it has not answered. */
  private answeredAtMs = 0;
  private ending: LifeEnd | undefined;
  private readonly restartListeners = new Set<() => void>();

  constructor(public replica: Replica) {}

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
  noteEnd(ending: LifeEnd): void {
    this.ending = ending;
    if (ending !== 'restarted') return;
    for (const listener of this.restartListeners) listener();
    this.restartListeners.clear();
  }

  /** Notes that this life is announced again after its announcement was gone. */
  noteReturn(): void {
    this.ending = undefined;
  }

  get isSuspected(): boolean {
    return monotonicMs() < Math.max(this.avoidUntilMs, this.pausedUntilMs);
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
    this.pausedUntilMs = 0;
    this.isProbed = false;
  }

  /** It served a request in `tookMs`. */
  noteSuccess(tookMs: number): void {
    this.noteWhole();
    this.measure(tookMs, AVERAGE_WEIGHT);
  }

  /** It finished a request whose events were measured one by one. */
  noteWhole(): void {
    this.failures = 0;
    this.avoidUntilMs = 0;
    this.noteTaken();
  }

  /** It sent an event `tookMs` after the one before. */
  noteEvent(tookMs: number): void {
    this.measure(tookMs, EVENT_WEIGHT);
  }

  noteFailure(): void {
    const delay = Math.min(SUSPICION_MAX_MS, SUSPICION_BASE_MS * 2 ** this.failures);
    this.failures += 1;
    this.avoidUntilMs = monotonicMs() + delay;
  }

  /** Avoids the replica for a while without counting a failure: it said that it is full. Longer each time. */
  pause(durationMs: number): void {
    this.isProbed = false;
    if (this.isSuspected) return;
    const delay = Math.min(PAUSE_MAX_MS, durationMs * 2 ** this.declines);
    this.declines += 1;
    this.pausedUntilMs = monotonicMs() + delay;
  }

  /** Weight version of `model` that the replica has, 0 when unknown. */
  versionOf(model: string): number {
    return this.replica.modelVersions.get(model) ?? 0;
  }

  private measure(tookMs: number, weight: number): void {
    this.averageMs = this.averageMs === 0 ? tookMs : this.averageMs + (tookMs - this.averageMs) * weight;
  }
}
