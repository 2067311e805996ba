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
  FlowUsage,
  RetryBudget,
  type RunningRequest,
  retryAfterMs,
  slotWaitMs,
  type Waiting,
  type WaitingBounds,
  WaitingList,
} from '../../../state/service/admission/index.js';
import {
  type ChoiceTerms,
  capacityOf,
  chooseReplica,
  drainRate,
  type ReplicaDirectory,
  type ReplicaState,
  ServiceTimes,
} from '../../../state/service/replicas/index.js';
import type { DispatchCall, DispatchResult, ServiceCapacity } from './dispatch-call.js';
import type { AttemptOutcome, ReplicaExchange } from './replica-exchange.js';

/** How often those that wait are looked at without a reason: pauses of replicas end in silence, milliseconds. */
const RECHECK_MS = 20;
/**
 * Times that replicas may decline one request before it is refused. Each decline pauses its replica, so this bounds what a request
 * costs replicas that others fill, while a caller that has time is not refused because two nodes deal out the same places.
 */
const MAX_DECLINES = 16;
/**
 * Those at the front may wait for a fast replica while a slow one is free. So many are passed over at most in search of one that
 * ends sooner at the slow one.
 */
const MAX_SKIPPED = 200;
/**
 * A request that waits without a slot is rejected this long before its deadline, milliseconds: two periods of `LOOK_MS`, so that the
 * rejection reaches the node that has the caller before that node's own timer ends the request as one that may have run.
 */
const EXPIRY_MARGIN_MS = 2 * RECHECK_MS;
/** Part of the places that must be free for a second attempt: beyond, it would take the place of a first one. */
const MIN_FREE_SLOT_FRACTION_FOR_HEDGE = 0.1;

/** What the queues of a node work with. */
export interface ServiceQueueServices {
  readonly directory: ReplicaDirectory;
  readonly exchange: ReplicaExchange;
  /** Requests that a replica runs at once. */
  readonly slotsOf: (state: ReplicaState) => number;
  /** Requests that a cold replica is to get in a second from this node; `undefined` where it bears all. */
  readonly slowStartPerSecond: (state: ReplicaState) => number | undefined;
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

const CANCELLED: DispatchResult = { outcome: { kind: 'cancelled' }, hasCrashedReplica: false };

/** The queue of one service. */
export class ServiceQueue {
  private readonly usage = new FlowUsage();
  private readonly serviceTimes = new ServiceTimes();
  private readonly waiting: WaitingList<Entry>;
  private readonly retryBudget = new RetryBudget();
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
    this.waiting = new WaitingList(this.usage, services.bounds);
    services.directory.onChange(() => this.schedule());
  }

  /** Requests that wait. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Second attempts that may be made now. */
  get retryBudgetLeft(): number {
    return this.retryBudget.left;
  }

  /** How full the replicas are. */
  get capacity(): ServiceCapacity {
    const { free, all } = capacityOf(this.states(), this.services);
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
    if (call.isHedge) this.enterHedge(entry);
    else if (call.isRetry && !this.retryBudget.take())
      this.refuse(entry, 'no second attempts left', this.retryAfterMs(entry));
    else this.enterFirst(entry);
  }

  private enterFirst(entry: Entry): void {
    if (!entry.call.isRetry) this.retryBudget.noteFirst();
    const admission = this.judge(entry);
    if (admission.kind === 'refused') {
      this.refuse(entry, 'no place in its time', admission.retryAfterMs);
      return;
    }
    this.addWaiting(entry);
    this.assignWaiting();
  }

  /** A second attempt takes a place that is free now, or is none. */
  private enterHedge(entry: Entry): void {
    const { free, slots } = this.capacity;
    const hasFreeSlots = this.waiting.size === 0 && free >= slots * MIN_FREE_SLOT_FRACTION_FOR_HEDGE;
    const choice = hasFreeSlots ? chooseReplica(this.eligible(entry), this.choiceTerms(entry, 0)) : undefined;
    if (choice?.kind !== 'send') this.refuse(entry, 'no room for a second attempt', 0);
    else if (!this.retryBudget.take()) this.refuse(entry, 'no second attempts left', 0);
    else this.send(entry, choice.state, choice.expectedMs);
  }

  private entryOf(call: DispatchCall, resolve: (result: DispatchResult) => void): Entry {
    const startedAtMs = monotonicMs();
    const entry: Entry = {
      call,
      startedAtMs,
      priority: call.priority,
      flow: call.flow,
      isBackground: call.isBackground,
      sinceMs: startedAtMs,
      targetAtMs: call.targetAtMs,
      deadlineMs: call.deadlineMs,
      serviceTimeMs: this.serviceTimes.expectedMs(call.workKind),
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
    const terms = this.admissionTerms(entry, this.waiting.queuedAheadMs(entry, monotonicMs()));
    if (this.eligible(entry).length === 0) entry.excluded.clear();
    if (this.eligible(entry).length === 0)
      return { kind: 'refused' as const, retryAfterMs: retryAfterMs(terms, Math.random()) };
    return admit(terms, Math.random());
  }

  private addWaiting(entry: Entry): void {
    entry.call.signal.addEventListener('abort', entry.onAbort, { once: true });
    const displaced = this.waiting.add(entry, monotonicMs());
    if (displaced) this.refuse(displaced, 'too many wait', this.retryAfterMs(displaced));
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
    if (!entry.call.isHedge) this.reportRefusal(entry, detail, afterMs);
    this.end(entry, {
      outcome: { kind: 'declined', reason: detail, isFull: true },
      hasCrashedReplica: false,
      retryAfterMs: afterMs > 0 ? afterMs : undefined,
      capacity: this.capacity,
      isClosed: this.isClosed,
    });
  }

  private retryAfterMs(entry: Entry): number {
    return retryAfterMs(this.admissionTerms(entry, this.waiting.queuedMs), Math.random());
  }

  /** Looks at those that wait, once in this turn of the event loop. */
  private schedule(): void {
    if (this.isScheduled || this.waiting.size === 0) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.assignWaiting();
    });
  }

  private assignWaiting(): void {
    this.rejectUnreachable(0);
    const skipped = new Set<Entry>();
    let skippedMs = 0;
    while (skipped.size < MAX_SKIPPED && this.waiting.size > skipped.size && this.capacity.free > 0) {
      const entry = this.waiting.next(monotonicMs(), (one) => !skipped.has(one));
      if (!entry) break;
      const choice = chooseReplica(this.eligible(entry), this.choiceTerms(entry, skippedMs));
      if (choice.kind === 'send') this.assign(entry, choice.state, choice.expectedMs);
      else if (choice.kind === 'none') this.refuse(entry, 'no replica', this.retryAfterMs(entry));
      else {
        skipped.add(entry);
        skippedMs += entry.serviceTimeMs;
      }
    }
    this.rejectUnreachable(EXPIRY_MARGIN_MS);
    this.armTimer();
  }

  private assign(entry: Entry, state: ReplicaState, expectedMs: number): void {
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
  private rejectUnreachable(marginMs: number): void {
    const nowMs = monotonicMs();
    const slotMs = this.waiting.size === 0 ? 0 : this.slotWaitMs(nowMs);
    for (const entry of [...this.waiting]) {
      const usableMs = entry.deadlineMs - nowMs - slotMs;
      if (usableMs < Math.max(marginMs, entry.serviceTimeMs / 2))
        this.refuse(entry, 'its time is over', this.retryAfterMs(entry));
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
    this.usage.add(call.flow, expectedMs, sentAtMs);
    const request = {
      ...call.request,
      remainingMs: entry.deadlineMs - sentAtMs,
      signal: call.signal,
    };
    this.noteRunning(call.request.id, state.id, true);
    const run = { sentAtMs, serviceTimeMs: entry.serviceTimeMs };
    this.noteRun(state.id, run);
    call.onHandOver?.(true);
    void this.services.exchange
      .attempt(state, request, { configVersion: call.configVersion, expectedMs: entry.serviceTimeMs })
      .then((outcome) => {
        if (outcome.kind === 'answered') this.noteTime(entry, state, monotonicMs() - sentAtMs);
        this.noteRunning(call.request.id, state.id, false);
        this.endRun(state.id, run);
        this.usage.add(call.flow, monotonicMs() - sentAtMs - expectedMs, monotonicMs());
        this.finish(entry, state, outcome);
        this.schedule();
      });
  }

  private noteTime({ call }: Entry, state: ReplicaState, tookMs: number): void {
    state.noteLatencyRatio(this.serviceTimes.note(call.workKind, tookMs));
  }

  private finish(entry: Entry, state: ReplicaState, outcome: AttemptOutcome): void {
    if (outcome.kind === 'declined' && this.requeue(entry, outcome.reason, state.id)) return;
    const hasCrashedReplica =
      outcome.kind === 'unknown' && outcome.replicaCrashed === true && !state.isLeaving;
    const { id, address } = state.replica;
    const retryMs = outcome.kind === 'declined' ? this.retryAfterMs(entry) : undefined;
    this.end(entry, {
      outcome,
      replica: { id, address },
      hasCrashedReplica,
      retryAfterMs: retryMs,
      capacity: this.capacity,
    });
  }

  /** A request that a replica has declined keeps its place among those that wait. */
  private requeue(entry: Entry, reason: string, replicaId: string): boolean {
    entry.declines += 1;
    entry.lastReason = reason;
    if (entry.call.isHedge || entry.declines >= MAX_DECLINES || entry.call.signal.aborted) return false;
    entry.call.onHandOver?.(false);
    entry.excluded.add(replicaId);
    if (this.eligible(entry).length === 0) entry.excluded.clear();
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

  private eligible({ excluded }: Entry): ReplicaState[] {
    const states = this.states();
    return excluded.size === 0 ? states : states.filter(({ id }) => !excluded.has(id));
  }

  private choiceTerms({ serviceTimeMs }: Entry, queuedAheadMs: number): ChoiceTerms {
    const { slotsOf, distance, slowStartPerSecond } = this.services;
    return { slotsOf, distance, slowStartPerSecond, serviceTimeMs, queuedAheadMs };
  }

  private admissionTerms(entry: Entry, queuedAheadMs: number): AdmissionTerms {
    return {
      queuedAheadMs,
      queuedMs: this.waiting.queuedMs,
      drainPerMs: drainRate(this.states(), this.services),
      slotWaitMs: this.slotWaitMs(monotonicMs()),
      hasFreeSlot: this.waiting.size === 0 && this.capacity.free > 0,
      serviceTimeMs: entry.serviceTimeMs,
      remainingMs: entry.deadlineMs - monotonicMs(),
    };
  }

  private armTimer(): void {
    if (this.timer || this.waiting.size === 0) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.assignWaiting();
    }, RECHECK_MS);
  }

  private reportRefusal(entry: Entry, reason: string, retryMs: number): void {
    const { service } = this;
    this.services.metrics.refusedRequests.inc({ service, rank: String(entry.priority) });
    const { free, slots, waiting } = this.capacity;
    this.services.logger.record({
      event: 'request-refused',
      requestId: entry.call.request.id,
      service,
      party: entry.flow,
      rank: entry.priority,
      reason,
      waitedMs: Math.round(monotonicMs() - entry.startedAtMs),
      leftMs: Math.round(entry.deadlineMs - monotonicMs()),
      retryAfterMs: Math.round(retryMs),
      waiting,
      free,
      slots,
    });
  }
}
