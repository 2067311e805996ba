/** Replicas that are known, with what this node has learnt of them from traffic, and the choice among them. */
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
/** A replica is slow when it takes this many times as long as the fastest of its service. */
const SLOW_FACTOR = 2;
/** A preferred replica is taken unless it takes this many times as long as the fastest candidate. */
const PREFERRED_SLACK = 1.2;
/** Work in flight at a replica of another zone counts this much more than in the own zone. */
const OTHER_ZONE_PENALTY = 0.5;

/** One replica with its statistics. */
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

  constructor(public replica: Replica) {}

  get id(): string {
    return this.replica.id;
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

/** What a choice of a replica must heed. */
export interface SelectionCriteria {
  readonly service: string;
  /** Zone to prefer. */
  readonly zone: string;
  /** Replicas that were tried already. */
  readonly excluded?: ReadonlySet<string>;
  /** Further condition. */
  readonly accepts?: (state: ReplicaState) => boolean;
  /** Replica to take when it is fit. */
  readonly preferredId?: string;
  /** Whether suspected replicas are taken when there are no others. Default true. */
  readonly allowsSuspected?: boolean;
  /** What decides among replicas that fit; the lowest is taken. Default: the expected wait. */
  readonly cost?: ReplicaCost;
}

/** Cost of a request at a replica for a node of `zone`. `fastestMs` is the lowest `averageMs` of the candidates. */
export type ReplicaCost = (state: ReplicaState, zone: string, fastestMs: number) => number;

/** The replicas of all services. */
export class ReplicaDirectory {
  private readonly states = new Map<string, ReplicaState>();
  private readonly services = new Map<string, Set<ReplicaState>>();
  private readonly listeners = new Set<() => void>();

  /** Called after each change. */
  onChange(listener: () => void): void {
    this.listeners.add(listener);
  }

  /** Adds a replica or takes its newer announcement. */
  set(replica: Replica): void {
    const existing = this.states.get(replica.id);
    if (existing) this.update(existing, replica);
    else this.add(replica);
    this.notify();
  }

  /** Takes a version that a replica shows before it is announced. */
  noteVersion(state: ReplicaState, model: string, version: number): void {
    if (state.versionOf(model) >= version || !this.isAvailable(state)) return;
    this.set({ ...state.replica, modelVersions: new Map(state.replica.modelVersions).set(model, version) });
  }

  /** Forgets a replica. */
  remove(id: string): void {
    const state = this.states.get(id);
    if (!state) return;
    this.states.delete(id);
    this.services.get(state.replica.service)?.delete(state);
    this.notify();
  }

  get(id: string): ReplicaState | undefined {
    return this.states.get(id);
  }

  get ids(): string[] {
    return [...this.states.keys()];
  }

  /** Replicas of a service that are not draining. */
  availableOf(service: string): ReplicaState[] {
    const states = this.services.get(service);
    return states ? [...states].filter((state) => !state.replica.isDraining) : [];
  }

  /** Whether `state` still stands here and is not draining. */
  isAvailable(state: ReplicaState): boolean {
    return this.states.get(state.replica.id) === state && !state.replica.isDraining;
  }

  /** The fittest replica, or `undefined` when none fits. */
  select(criteria: SelectionCriteria): ReplicaState | undefined {
    const fitting = this.availableOf(criteria.service).filter(
      (state) => !criteria.excluded?.has(state.replica.id) && (criteria.accepts?.(state) ?? true),
    );
    const trusted = fitting.filter((state) => !state.isSuspected);
    const candidates = trusted.length > 0 || criteria.allowsSuspected === false ? trusted : fitting;
    const preferred = candidates.find((state) => state.replica.id === criteria.preferredId);
    if (preferred && preferred.averageMs <= fastestOf(candidates) * PREFERRED_SLACK) return preferred;
    return this.cheapest(candidates, criteria.zone, criteria.cost ?? expectedWait);
  }

  private cheapest(
    candidates: readonly ReplicaState[],
    zone: string,
    costOf: ReplicaCost,
  ): ReplicaState | undefined {
    const fastest = fastestOf(candidates);
    let best: ReplicaState | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const state of candidates) {
      const cost = costOf(state, zone, fastest);
      if (cost >= bestCost) continue;
      best = state;
      bestCost = cost;
    }
    return best;
  }

  /** A replica whose versions have changed has ended a load: it takes requests again. */
  private update(state: ReplicaState, replica: Replica): void {
    const before = state.replica.modelVersions;
    state.replica = replica;
    for (const [model, version] of replica.modelVersions)
      if (before.get(model) !== version) state.noteTaken();
  }

  private add(replica: Replica): void {
    const state = new ReplicaState(replica);
    this.states.set(replica.id, state);
    const states = this.services.get(replica.service) ?? new Set();
    states.add(state);
    this.services.set(replica.service, states);
  }

  private notify(): void {
    for (const listener of this.listeners) listener();
  }
}

/** Lowest measured service time, milliseconds; infinite while nothing was measured. */
function fastestOf(candidates: readonly ReplicaState[]): number {
  return Math.min(...candidates.map((state) => state.averageMs || Number.POSITIVE_INFINITY));
}

/** Work in flight for each slot, more in another zone, more at a slow replica. */
function expectedWait(state: ReplicaState, zone: string, fastestMs: number): number {
  const load = (state.inFlight + 1) / Math.max(1, state.replica.slots);
  const distance = state.replica.zone === zone ? 0 : OTHER_ZONE_PENALTY;
  const slowness = state.averageMs > fastestMs * SLOW_FACTOR ? state.averageMs / fastestMs : 1;
  return (load + distance) * slowness + Math.random() * 1e-6;
}
