/**
 * Queue of one service at its dispatcher: assigns requests to replicas, queues them in order while no slot is
 * free, and rejects those that cannot meet their deadline, before they run.
 *
 * Owns the queued requests, their flows' usage, the retry budget and what it has running; in memory, bounded
 * in requests, bytes and time, and lost with the process. The rules are in `state/service/admission` and
 * `state/service/replicas`. A queued request is checked again before it is sent: its caller may have
 * cancelled, its deadline be out of reach, or its route be gone.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import {
  type AdmissionDecision,
  admit,
  FlowUsage,
  isDeadlineUnreachable,
  mayHedge,
  mayRequeue,
  type Rejection,
  type RejectionReason,
  RetryBudget,
  rejectionText,
  retryAfterMs,
  type WaitingBounds,
  WaitingList,
} from '../../../state/service/admission/index.js';
import { type ReplicaState, ServiceTimes } from '../../../state/service/replicas/index.js';
import { CANCELLED, type DispatchCall, type DispatchResult, type ServiceCapacity } from './dispatch-call.js';
import { QueueChecks, RECHECK_MS } from './queue-checks.js';
import { type QueueEntry, toEntry } from './queue-entry.js';
import { reportRejection } from './rejection-reports.js';
import type { AttemptOutcome, ReplicaExchange } from './replica-exchange.js';
import { RunningRequests } from './running-requests.js';
import { type ReplicaPolicy, ServiceReplicas } from './service-replicas.js';

/**
 * A queued request is rejected this long before its deadline, milliseconds. Two check periods, so that the
 * caller's node learns of it before its own timer ends the request as one that may have run.
 */
const EXPIRY_MARGIN_MS = 2 * RECHECK_MS;
/** Requests that one pass may leave waiting for a fast replica. Chosen, not measured: bounds its cost. */
const MAX_SKIPPED = 200;

/** What the queues of a node depend on. */
export interface ServiceQueueServices extends ReplicaPolicy {
  readonly exchange: ReplicaExchange;
  /** Whether the configuration in force still routes a queued request to the service. */
  readonly isAllowed: (call: DispatchCall) => boolean;
  readonly bounds: WaitingBounds;
  readonly metrics: Pick<ServiceMetrics, 'refusedRequests' | 'waitedSeconds'>;
  readonly logger: DecisionLogger;
}

export class ServiceQueue {
  private readonly usage = new FlowUsage();
  private readonly serviceTimes = new ServiceTimes();
  private readonly waiting: WaitingList<QueueEntry>;
  private readonly retryBudget = new RetryBudget();
  private readonly running = new RunningRequests();
  private readonly replicas: ServiceReplicas;
  private readonly checks = new QueueChecks(
    () => this.assignWaiting(),
    () => this.waiting.size > 0,
  );
  private isClosed = false;

  constructor(
    private readonly service: string,
    private readonly services: ServiceQueueServices,
  ) {
    this.waiting = new WaitingList(this.usage, services.bounds);
    this.replicas = new ServiceReplicas(service, services);
    services.directory.onChange(() => this.checks.schedule());
  }

  /** Queued requests. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Retries and hedges that may be sent now. */
  get retryBudgetLeft(): number {
    return this.retryBudget.left;
  }

  get capacity(): ServiceCapacity {
    const { free, all } = this.replicas.capacity;
    return { free, slots: all, waiting: this.waiting.size };
  }

  /** Sends or queues a request. Never rejects the promise: a rejected request is a declined outcome. */
  dispatch(call: DispatchCall): Promise<DispatchResult> {
    if (call.signal.aborted) return Promise.resolve(CANCELLED);
    return new Promise((resolve) => this.enter(call, resolve));
  }

  /** Rejects all queued requests, so that callers' nodes ask another dispatcher. What runs goes on. */
  close(): void {
    this.isClosed = true;
    for (const entry of [...this.waiting]) this.rejectNow(entry, 'dispatcher-leaving');
  }

  private enter(call: DispatchCall, resolve: (result: DispatchResult) => void): void {
    const entry = toEntry(call, {
      serviceTimeMs: this.serviceTimes.expectedMs(call.workKind),
      runningAt: this.running.replicasOf(call.request.id),
      resolve,
      onAbort: (aborted) => this.cancel(aborted),
    });
    if (call.isHedge) this.enterHedge(entry);
    else if (call.isRetry && !this.retryBudget.take()) this.rejectForNow(entry, 'retry-budget-exhausted');
    else this.enterFirst(entry);
  }

  private enterFirst(entry: QueueEntry): void {
    if (!entry.call.isRetry) this.retryBudget.noteFirst();
    const decision = this.decideAdmission(entry);
    if (decision.kind === 'reject') {
      this.reject(entry, decision);
      return;
    }
    this.addWaiting(entry);
    this.assignWaiting();
  }

  /** Sends a hedge at once or rejects it; the budget is charged only where there is a replica for it. */
  private enterHedge(entry: QueueEntry): void {
    const choice = mayHedge(this.capacity)
      ? this.replicas.choose(entry.excluded, entry.serviceTimeMs, 0)
      : undefined;
    if (choice?.kind !== 'send') this.rejectNow(entry, 'no-slot-for-hedge');
    else if (!this.retryBudget.take()) this.rejectNow(entry, 'retry-budget-exhausted');
    else this.send(entry, choice.state, choice.expectedMs);
  }

  private decideAdmission(entry: QueueEntry): AdmissionDecision {
    const queuedAheadMs = this.waiting.queuedAheadMs(entry, monotonicMs());
    this.relaxExclusion(entry);
    const input = {
      ...this.retryAfterInput(entry),
      hasReplica: this.replicas.eligible(entry.excluded).length > 0,
      hasFreeSlot: this.waiting.size === 0 && this.replicas.capacity.free > 0,
      queuedAheadMs,
      slotWaitMs: this.slotWaitMs(monotonicMs()),
    };
    return admit(input, Math.random());
  }

  /** Allows the excluded replicas again where there are no others. */
  private relaxExclusion({ excluded }: QueueEntry): void {
    if (this.replicas.eligible(excluded).length === 0) excluded.clear();
  }

  private addWaiting(entry: QueueEntry): void {
    entry.call.signal.addEventListener('abort', entry.onAbort, { once: true });
    const dropped = this.waiting.add(entry, monotonicMs());
    if (dropped) this.rejectForNow(dropped, 'queue-full');
  }

  private cancel(entry: QueueEntry): void {
    if (this.waiting.remove(entry)) this.end(entry, CANCELLED);
  }

  private end(entry: QueueEntry, result: DispatchResult): void {
    entry.call.signal.removeEventListener('abort', entry.onAbort);
    entry.resolve(result);
  }

  /** Rejects a request that may be retried once the queue has drained. */
  private rejectForNow(entry: QueueEntry, reason: RejectionReason, expectedWaitMs?: number): void {
    this.reject(entry, { kind: 'reject', reason, retryAfterMs: this.retryAfterMs(entry), expectedWaitMs });
  }

  /** Rejects a request without Retry-After. */
  private rejectNow(entry: QueueEntry, reason: RejectionReason): void {
    this.reject(entry, { kind: 'reject', reason, retryAfterMs: 0 });
  }

  private reject(entry: QueueEntry, rejection: Rejection): void {
    this.waiting.remove(entry);
    const text = rejectionText(rejection);
    const reason = entry.lastDecline === '' ? text : `${text}; before: ${entry.lastDecline}`;
    const { retryAfterMs } = rejection;
    const { service, services, capacity } = this;
    if (!entry.call.isHedge) reportRejection(services, service, { entry, reason, retryAfterMs, capacity });
    this.end(entry, {
      outcome: { kind: 'declined', reason, isFull: true },
      hasCrashedReplica: false,
      retryAfterMs: retryAfterMs > 0 ? retryAfterMs : undefined,
      capacity,
      isClosed: this.isClosed,
    });
  }

  private retryAfterMs(entry: QueueEntry): number {
    return retryAfterMs(this.retryAfterInput(entry), Math.random());
  }

  private retryAfterInput({ serviceTimeMs, deadlineMs }: QueueEntry) {
    return {
      queuedMs: this.waiting.queuedMs,
      drainPerMs: this.replicas.drainPerMs,
      serviceTimeMs,
      remainingMs: deadlineMs - monotonicMs(),
    };
  }

  private assignWaiting(): void {
    this.rejectUnreachable(0);
    const skipped = new Set<QueueEntry>();
    let skippedMs = 0;
    while (skipped.size < MAX_SKIPPED && this.waiting.size > skipped.size && this.capacity.free > 0) {
      const entry = this.waiting.next(monotonicMs(), (one) => !skipped.has(one));
      if (!entry) break;
      const choice = this.replicas.choose(entry.excluded, entry.serviceTimeMs, skippedMs);
      if (choice.kind === 'send') this.assign(entry, choice.state, choice.expectedMs);
      else if (choice.kind === 'none') this.rejectForNow(entry, 'no-replica');
      else {
        skipped.add(entry);
        skippedMs += entry.serviceTimeMs;
      }
    }
    this.rejectUnreachable(EXPIRY_MARGIN_MS);
    this.checks.armTimer();
  }

  private assign(entry: QueueEntry, state: ReplicaState, expectedMs: number): void {
    this.waiting.remove(entry);
    this.waiting.noteServed();
    const waitedMs = monotonicMs() - entry.sinceMs;
    this.services.metrics.waitedSeconds.observe({ service: this.service }, waitedMs / 1_000);
    if (this.services.isAllowed(entry.call)) this.send(entry, state, expectedMs);
    else this.rejectNow(entry, 'route-removed');
  }

  private rejectUnreachable(marginMs: number): void {
    if (this.waiting.size === 0) return;
    const nowMs = monotonicMs();
    const slotWaitMs = this.slotWaitMs(nowMs);
    for (const entry of [...this.waiting]) {
      const { deadlineMs, serviceTimeMs } = entry;
      const remainingMs = deadlineMs - nowMs;
      if (isDeadlineUnreachable({ remainingMs, slotWaitMs, serviceTimeMs }, marginMs))
        this.rejectForNow(entry, 'deadline-unreachable', slotWaitMs);
    }
  }

  private slotWaitMs(nowMs: number): number {
    return this.replicas.slotWaitMs((replicaId) => this.running.at(replicaId), nowMs);
  }

  private send(entry: QueueEntry, state: ReplicaState, expectedMs: number): void {
    const { call, serviceTimeMs, deadlineMs } = entry;
    const sentAtMs = monotonicMs();
    this.usage.add(call.flow, expectedMs, sentAtMs);
    const request = { ...call.request, remainingMs: deadlineMs - sentAtMs, signal: call.signal };
    const endRun = this.running.begin(call.request.id, state.id, { sentAtMs, serviceTimeMs });
    call.onHandOver?.(true);
    void this.services.exchange
      .attempt(state, request, { configVersion: call.configVersion, expectedMs: serviceTimeMs })
      .then((outcome) => {
        const tookMs = monotonicMs() - sentAtMs;
        if (outcome.kind === 'answered')
          state.noteLatencyRatio(this.serviceTimes.note(call.workKind, tookMs));
        endRun();
        this.usage.add(call.flow, tookMs - expectedMs, monotonicMs());
        this.finish(entry, state, outcome);
        this.checks.schedule();
      });
  }

  private finish(entry: QueueEntry, state: ReplicaState, outcome: AttemptOutcome): void {
    if (outcome.kind === 'declined' && this.requeue(entry, outcome.reason, state.id)) return;
    const { id, address } = state.replica;
    this.end(entry, {
      outcome,
      replica: { id, address },
      hasCrashedReplica: outcome.kind === 'unknown' && outcome.replicaCrashed === true && !state.isLeaving,
      retryAfterMs: outcome.kind === 'declined' ? this.retryAfterMs(entry) : undefined,
      capacity: this.capacity,
    });
  }

  /** Queues a declined request again, with the time of its arrival; false when it is not to be queued. */
  private requeue(entry: QueueEntry, reason: string, replicaId: string): boolean {
    entry.declines += 1;
    entry.lastDecline = reason;
    const { isHedge, signal, onHandOver } = entry.call;
    if (!mayRequeue(entry.declines, isHedge, signal.aborted)) return false;
    onHandOver?.(false);
    entry.excluded.add(replicaId);
    this.relaxExclusion(entry);
    this.addWaiting(entry);
    return true;
  }
}
