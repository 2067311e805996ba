/**
 * The requests for one service at the node that deals out the places of its replicas. A request goes to the replica that answers it
 * soonest; where all are full it waits in order, in memory, bounded in count, bytes and time; one that cannot be served in its time
 * is refused before it has run.
 *
 * What waits is judged again before it is sent: by then its caller may have left, its time may be over, or the configuration
 * may not allow it any more.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import {
  type AdmissionTerms,
  admit,
  ExtraAttempts,
  PartyUse,
  type RunningRequest,
  retryAfterMs,
  slotWaitMs,
  type Waiting,
  type WaitingBounds,
  WaitingList,
} from '../../../state/service/admission/index.js';
import {
  type ChoiceTerms,
  chooseReplica,
  drainRate,
  type ReplicaDirectory,
  type ReplicaState,
  roomOf,
  WorkTimes,
} from '../../../state/service/replicas/index.js';
import type { DispatchCall, DispatchResult, ServiceRoom } from './dispatch-call.js';
import type { AttemptOutcome, ReplicaExchange } from './replica-exchange.js';

/** How often those that wait are looked at without a reason: pauses of replicas end in silence, milliseconds. */
const LOOK_MS = 20;
/**
 * Times that replicas may decline one request before it is refused. Each decline pauses its replica, so this bounds what a request
 * costs replicas that others fill, while a caller that has time is not refused because two nodes deal out the same places.
 */
const MAX_DECLINES = 16;
/**
 * Those at the front may wait for a fast replica while a slow one is free. So many are passed over at most in search of one that
 * ends sooner at the slow one.
 */
const MAX_PASSED = 200;
/**
 * A request that waits without a slot is rejected this long before its deadline, milliseconds: two periods of `LOOK_MS`, so that the
 * rejection reaches the node that has the caller before that node's own timer ends the request as one that may have run.
 */
const EXPIRY_MARGIN_MS = 2 * LOOK_MS;
/** Part of the places that must be free for a second attempt: beyond, it would take the place of a first one. */
const FREE_FOR_EXTRA = 0.1;

/** What the queues of a node work with. */
export interface ServiceQueueServices {
  readonly directory: ReplicaDirectory;
  readonly exchange: ReplicaExchange;
  /** Requests that a replica runs at once. */
  readonly slotsOf: (state: ReplicaState) => number;
  /** Requests that a cold replica is to get in a second from this node; `undefined` where it bears all. */
  readonly coldPerSecond: (state: ReplicaState) => number | undefined;
  /** What a replica's distance counts, as a part of its places. */
  readonly distance: (state: ReplicaState) => number;
  /** Whether the configuration in force still allows a request that has waited. */
  readonly isAllowed: (call: DispatchCall) => boolean;
  readonly bounds: WaitingBounds;
  readonly metrics: Pick<ServiceMetrics, 'refusedRequests' | 'waitedSeconds'>;
  readonly logger: DecisionLogger;
}

/** One request that waits or runs. */
interface Entry extends Waiting {
  readonly call: DispatchCall;
  readonly startedAtMs: number;
  /** Replicas that are not to be taken for it. */
  readonly excluded: Set<string>;
  declines: number;
  lastReason: string;
  readonly resolve: (result: DispatchResult) => void;
  readonly onAbort: () => void;
}

const CANCELLED: DispatchResult = { outcome: { kind: 'cancelled' }, hasEndedReplica: false };

/** The queue of one service. */
export class ServiceQueue {
  private readonly use = new PartyUse();
  private readonly workTimes = new WorkTimes();
  private readonly waiting: WaitingList<Entry>;
  private readonly extras = new ExtraAttempts();
  /** Replicas at which a request runs, by its identifier: a second attempt goes elsewhere. */
  private readonly running = new Map<string, Set<string>>();
  /** Requests that this queue has running, by replica. */
  private readonly runs = new Map<string, Set<RunningRequest>>();
  private timer: NodeJS.Timeout | undefined;
  private isScheduled = false;
  private isClosed = false;

  constructor(
    private readonly service: string,
    private readonly services: ServiceQueueServices,
  ) {
    this.waiting = new WaitingList(this.use, services.bounds);
    services.directory.onChange(() => this.schedule());
  }

  /** Requests that wait. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Second attempts that may be made now. */
  get extrasLeft(): number {
    return this.extras.left;
  }

  /** How full the replicas are. */
  get room(): ServiceRoom {
    const { free, all } = roomOf(this.states(), this.services);
    return { free, slots: all, waiting: this.waiting.size };
  }

  /** Sends a request or lets it wait. Never rejects. */
  dispatch(call: DispatchCall): Promise<DispatchResult> {
    if (call.signal.aborted) return Promise.resolve(CANCELLED);
    return new Promise((resolve) => this.enter(call, resolve));
  }

  /** Refuses all that wait: this node deals out no places any more, another one is to be asked. */
  close(reason: string): void {
    this.isClosed = true;
    for (const entry of [...this.waiting]) this.refuse(entry, reason, 0);
  }

  private enter(call: DispatchCall, resolve: (result: DispatchResult) => void): void {
    const entry = this.entryOf(call, resolve);
    if (call.isExtra) this.enterExtra(entry);
    else if (call.isRetry && !this.extras.take())
      this.refuse(entry, 'no second attempts left', this.comeBackMs(entry));
    else this.enterFirst(entry);
  }

  private enterFirst(entry: Entry): void {
    if (!entry.call.isRetry) this.extras.noteFirst();
    const admission = this.judge(entry);
    if (admission.kind === 'refused') {
      this.refuse(entry, 'no place in its time', admission.retryAfterMs);
      return;
    }
    this.addWaiting(entry);
    this.placeWaiting();
  }

  /** A second attempt takes a place that is free now, or is none. */
  private enterExtra(entry: Entry): void {
    const { free, slots } = this.room;
    const hasRoom = this.waiting.size === 0 && free >= slots * FREE_FOR_EXTRA;
    const choice = hasRoom ? chooseReplica(this.fitting(entry), this.choiceTerms(entry, 0)) : undefined;
    if (choice?.kind !== 'send') this.refuse(entry, 'no room for a second attempt', 0);
    else if (!this.extras.take()) this.refuse(entry, 'no second attempts left', 0);
    else this.send(entry, choice.state, choice.expectedMs);
  }

  private entryOf(call: DispatchCall, resolve: (result: DispatchResult) => void): Entry {
    const startedAtMs = monotonicMs();
    const entry: Entry = {
      call,
      startedAtMs,
      rank: call.rank,
      party: call.party,
      isPatient: call.isPatient,
      sinceMs: startedAtMs,
      aimAtMs: call.aimAtMs,
      endsAtMs: call.endsAtMs,
      workMs: this.workTimes.usualMs(call.workKind),
      bytes: call.request.body.length,
      excluded: new Set([...call.excluded, ...(this.running.get(call.request.id) ?? [])]),
      declines: 0,
      lastReason: '',
      resolve,
      onAbort: () => this.cancel(entry),
    };
    return entry;
  }

  /** Whether a request can be served in its time, as far as known. One that finds no replica is refused at once. */
  private judge(entry: Entry) {
    const terms = this.admissionTerms(entry, this.waiting.workBefore(entry, monotonicMs()));
    if (this.fitting(entry).length === 0) entry.excluded.clear();
    if (this.fitting(entry).length === 0)
      return { kind: 'refused' as const, retryAfterMs: retryAfterMs(terms, Math.random()) };
    return admit(terms, Math.random());
  }

  private addWaiting(entry: Entry): void {
    entry.call.signal.addEventListener('abort', entry.onAbort, { once: true });
    const displaced = this.waiting.add(entry, monotonicMs());
    if (displaced) this.refuse(displaced, 'too many wait', this.comeBackMs(displaced));
  }

  private cancel(entry: Entry): void {
    if (this.waiting.remove(entry)) this.end(entry, CANCELLED);
  }

  private end(entry: Entry, result: DispatchResult): void {
    entry.call.signal.removeEventListener('abort', entry.onAbort);
    entry.resolve(result);
  }

  private refuse(entry: Entry, reason: string, afterMs: number): void {
    this.waiting.remove(entry);
    const detail = entry.lastReason === '' ? reason : `${reason}; before: ${entry.lastReason}`;
    if (!entry.call.isExtra) this.reportRefusal(entry, detail, afterMs);
    this.end(entry, {
      outcome: { kind: 'declined', reason: detail, isFull: true },
      hasEndedReplica: false,
      retryAfterMs: afterMs > 0 ? afterMs : undefined,
      room: this.room,
      isClosed: this.isClosed,
    });
  }

  private comeBackMs(entry: Entry): number {
    return retryAfterMs(this.admissionTerms(entry, this.waiting.totalWorkMs), Math.random());
  }

  /** Looks at those that wait, once in this turn of the event loop. */
  private schedule(): void {
    if (this.isScheduled || this.waiting.size === 0) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.placeWaiting();
    });
  }

  private placeWaiting(): void {
    this.dropOverdue(0);
    const passed = new Set<Entry>();
    let passedWorkMs = 0;
    while (passed.size < MAX_PASSED && this.waiting.size > passed.size && this.room.free > 0) {
      const entry = this.waiting.next(monotonicMs(), (one) => !passed.has(one));
      if (!entry) break;
      const choice = chooseReplica(this.fitting(entry), this.choiceTerms(entry, passedWorkMs));
      if (choice.kind === 'send') this.place(entry, choice.state, choice.expectedMs);
      else if (choice.kind === 'none') this.refuse(entry, 'no replica', this.comeBackMs(entry));
      else {
        passed.add(entry);
        passedWorkMs += entry.workMs;
      }
    }
    this.dropOverdue(EXPIRY_MARGIN_MS);
    this.armTimer();
  }

  private place(entry: Entry, state: ReplicaState, expectedMs: number): void {
    this.waiting.remove(entry);
    this.waiting.noteServed();
    const waitedMs = monotonicMs() - entry.startedAtMs;
    this.services.metrics.waitedSeconds.observe({ service: this.service }, waitedMs / 1_000);
    if (!this.services.isAllowed(entry.call)) {
      this.refuse(entry, 'the configuration does not allow it any more', 0);
      return;
    }
    this.send(entry, state, expectedMs);
  }

  /** What can no longer be served in its time has not run, and its caller is told. */
  private dropOverdue(marginMs: number): void {
    const nowMs = monotonicMs();
    const slotMs = this.waiting.size === 0 ? 0 : this.slotWaitMs(nowMs);
    for (const entry of [...this.waiting]) {
      const usableMs = entry.endsAtMs - nowMs - slotMs;
      if (usableMs < Math.max(marginMs, entry.workMs / 2))
        this.refuse(entry, 'its time is over', this.comeBackMs(entry));
    }
  }

  private slotWaitMs(nowMs: number): number {
    const uses = this.states().map((state) => {
      const running = this.runs.get(state.id) ?? new Set();
      return { slots: Math.max(1, this.services.slotsOf(state)), running, runningCount: running.size };
    });
    return slotWaitMs(uses, nowMs);
  }

  private send(entry: Entry, state: ReplicaState, expectedMs: number): void {
    const { call } = entry;
    const sentAtMs = monotonicMs();
    this.use.add(call.party, expectedMs, sentAtMs);
    const request = {
      ...call.request,
      deadlineMs: entry.endsAtMs - sentAtMs,
      signal: call.signal,
    };
    this.noteRunning(call.request.id, state.id, true);
    const run = { sentAtMs, workMs: entry.workMs, deadlineMs: entry.endsAtMs };
    this.noteRun(state.id, run);
    call.onHandOver?.(true);
    void this.services.exchange
      .attempt(state, request, { configVersion: call.configVersion, usualMs: entry.workMs })
      .then((outcome) => {
        if (outcome.kind === 'answered') this.noteTime(entry, state, monotonicMs() - sentAtMs);
        this.noteRunning(call.request.id, state.id, false);
        this.endRun(state.id, run);
        this.use.add(call.party, monotonicMs() - sentAtMs - expectedMs, monotonicMs());
        this.finish(entry, state, outcome);
        this.schedule();
      });
  }

  private noteTime({ call }: Entry, state: ReplicaState, tookMs: number): void {
    state.noteSlowness(this.workTimes.note(call.workKind, tookMs));
  }

  private finish(entry: Entry, state: ReplicaState, outcome: AttemptOutcome): void {
    if (outcome.kind === 'declined' && this.goesOnWaiting(entry, outcome.reason, state.id)) return;
    const hasEndedReplica = outcome.kind === 'unknown' && outcome.replicaEnded === true && !state.isLeaving;
    const { id, address } = state.replica;
    const retryMs = outcome.kind === 'declined' ? this.comeBackMs(entry) : undefined;
    this.end(entry, {
      outcome,
      replica: { id, address },
      hasEndedReplica,
      retryAfterMs: retryMs,
      room: this.room,
    });
  }

  /** A request that a replica has declined keeps its place among those that wait. */
  private goesOnWaiting(entry: Entry, reason: string, replicaId: string): boolean {
    entry.declines += 1;
    entry.lastReason = reason;
    if (entry.call.isExtra || entry.declines >= MAX_DECLINES || entry.call.signal.aborted) return false;
    entry.call.onHandOver?.(false);
    entry.excluded.add(replicaId);
    if (this.fitting(entry).length === 0) entry.excluded.clear();
    this.addWaiting(entry);
    return true;
  }

  private noteRunning(requestId: string, replicaId: string, isRunning: boolean): void {
    const replicas = this.running.get(requestId) ?? new Set();
    if (isRunning) replicas.add(replicaId);
    else replicas.delete(replicaId);
    if (replicas.size === 0) this.running.delete(requestId);
    else this.running.set(requestId, replicas);
  }

  private noteRun(replicaId: string, run: RunningRequest): void {
    const runs = this.runs.get(replicaId) ?? new Set();
    runs.add(run);
    this.runs.set(replicaId, runs);
  }

  private endRun(replicaId: string, run: RunningRequest): void {
    const runs = this.runs.get(replicaId);
    runs?.delete(run);
    if (runs?.size === 0) this.runs.delete(replicaId);
  }

  private states(): ReplicaState[] {
    return this.services.directory.availableOf(this.service);
  }

  private fitting({ excluded }: Entry): ReplicaState[] {
    const states = this.states();
    return excluded.size === 0 ? states : states.filter(({ id }) => !excluded.has(id));
  }

  private choiceTerms({ workMs }: Entry, workBeforeMs: number): ChoiceTerms {
    const { slotsOf, distance, coldPerSecond } = this.services;
    return { slotsOf, distance, coldPerSecond, workMs, workBeforeMs };
  }

  private admissionTerms(entry: Entry, workBeforeMs: number): AdmissionTerms {
    return {
      workBeforeMs,
      workWaitingMs: this.waiting.totalWorkMs,
      drainPerMs: drainRate(this.states(), this.services),
      slotWaitMs: this.slotWaitMs(monotonicMs()),
      hasRoom: this.waiting.size === 0 && this.room.free > 0,
      workMs: entry.workMs,
      leftMs: entry.endsAtMs - monotonicMs(),
    };
  }

  private armTimer(): void {
    if (this.timer || this.waiting.size === 0) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.placeWaiting();
    }, LOOK_MS);
  }

  private reportRefusal(entry: Entry, reason: string, retryMs: number): void {
    const { service } = this;
    this.services.metrics.refusedRequests.inc({ service, rank: String(entry.rank) });
    const { free, slots, waiting } = this.room;
    this.services.logger.record({
      event: 'request-refused',
      requestId: entry.call.request.id,
      service,
      party: entry.party,
      rank: entry.rank,
      reason,
      waitedMs: Math.round(monotonicMs() - entry.startedAtMs),
      leftMs: Math.round(entry.endsAtMs - monotonicMs()),
      retryAfterMs: Math.round(retryMs),
      waiting,
      free,
      slots,
    });
  }
}
