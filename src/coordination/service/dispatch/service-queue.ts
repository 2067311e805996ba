/**
 * Queue of one service at its dispatcher: assigns requests to replicas, queues them while no slot is free,
 * and rejects those that cannot meet their deadline. Requests are checked again before they are sent, since
 * their route or deadline may have expired meanwhile. The rules are in `state/service/admission` and
 * `state/service/replicas`.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import {
  type AdmissionDecision,
  admit,
  FairQueue,
  FlowUsage,
  isDeadlineUnreachable,
  mayHedge,
  mayRequeue,
  type QueueLimits,
  type Rejection,
  type RejectionReason,
  RetryBudget,
  rejectionText,
  retryAfterMs,
} from '../../../state/service/admission/index.js';
import { type ReplicaState, ServiceTimes } from '../../../state/service/replicas/index.js';
import { AssignmentScheduler, RECHECK_INTERVAL_MS } from './assignment-scheduler.js';
import {
  CANCELLED_RESULT,
  type DispatchCall,
  type DispatchResult,
  type ServiceCapacity,
} from './dispatch-call.js';
import { type QueueEntry, toQueueEntry } from './queue-entry.js';
import { reportRejection } from './rejection-reports.js';
import type { AttemptOutcome, ReplicaExchange } from './replica-exchange.js';
import { RunningRequests } from './running-requests.js';
import { type ReplicaPolicy, ServiceReplicas } from './service-replicas.js';

/**
 * Queued requests are rejected this long before their deadline, milliseconds, so that the calling node gets
 * the rejection before its own timeout, after which it would have to assume that the request may have run.
 */
const EXPIRY_MARGIN_MS = 2 * RECHECK_INTERVAL_MS;
/**
 * Requests that one assignment pass may skip because they wait for a fast replica; bounds the cost of a pass.
 */
const MAX_SKIPPED_PER_PASS = 200;

/** Dependencies of the queues of a node. */
export interface ServiceQueueServices extends ReplicaPolicy {
  readonly exchange: ReplicaExchange;
  /** Why a call must not be sent now, by the current configuration and its job; `undefined` if it may be. */
  readonly obstacle: (call: DispatchCall) => RejectionReason | undefined;
  readonly queueLimits: QueueLimits;
  readonly metrics: Pick<ServiceMetrics, 'refusedRequests' | 'waitedSeconds'>;
  readonly logger: DecisionLogger;
}

export class ServiceQueue {
  private readonly usage = new FlowUsage();
  private readonly serviceTimes = new ServiceTimes();
  private readonly queue: FairQueue<QueueEntry>;
  private readonly retryBudget = new RetryBudget();
  private readonly running = new RunningRequests();
  private readonly replicas: ServiceReplicas;
  private readonly scheduler = new AssignmentScheduler(
    () => this.assignQueued(),
    () => this.queue.size > 0,
  );
  private isClosed = false;

  constructor(
    private readonly service: string,
    private readonly services: ServiceQueueServices,
  ) {
    this.queue = new FairQueue(this.usage, services.queueLimits);
    this.replicas = new ServiceReplicas(service, services);
    services.directory.onChange(() => this.scheduler.schedule());
  }

  get queuedCount(): number {
    return this.queue.size;
  }

  /** Number of retries and hedges that may be sent now. */
  get retryBudgetLeft(): number {
    return this.retryBudget.available;
  }

  get capacity(): ServiceCapacity {
    const { free, all } = this.replicas.capacity;
    return { free, slots: all, waiting: this.queue.size };
  }

  /** Sends or queues a request. The promise never rejects; a rejected request has the outcome `declined`. */
  dispatch(call: DispatchCall): Promise<DispatchResult> {
    if (call.signal.aborted) return Promise.resolve(CANCELLED_RESULT);
    return new Promise((resolve) => this.receive(call, resolve));
  }

  /** Rejects all queued requests, so that calling nodes use another dispatcher. Running requests continue. */
  close(): void {
    this.isClosed = true;
    for (const entry of [...this.queue]) this.rejectWithoutRetryAfter(entry, 'dispatcher-leaving');
  }

  private receive(call: DispatchCall, resolve: (result: DispatchResult) => void): void {
    const entry = toQueueEntry(call, {
      serviceTimeMs: this.serviceTimes.expectedMs(call.workKind),
      runningAt: this.running.replicasOf(call.request.id),
      resolve,
      onAbort: (aborted) => this.cancel(aborted),
    });
    if (call.isHedge) this.receiveHedge(entry);
    else if (call.isRetry && !this.retryBudget.tryTake())
      this.rejectWithRetryAfter(entry, 'retry-budget-exhausted');
    else this.receiveQueueable(entry);
  }

  private receiveQueueable(entry: QueueEntry): void {
    if (!entry.call.isRetry) this.retryBudget.recordFirstAttempt();
    const decision = this.decideAdmission(entry);
    if (decision.kind === 'reject') {
      this.reject(entry, decision);
      return;
    }
    this.enqueue(entry);
    this.assignQueued();
  }

  /** Sends a hedge immediately or rejects it. Takes retry budget only if a replica is available. */
  private receiveHedge(entry: QueueEntry): void {
    const choice = mayHedge(this.capacity)
      ? this.replicas.choose(entry.excluded, entry.serviceTimeMs, 0)
      : undefined;
    if (choice?.kind !== 'send') this.rejectWithoutRetryAfter(entry, 'no-slot-for-hedge');
    else if (!this.retryBudget.tryTake()) this.rejectWithoutRetryAfter(entry, 'retry-budget-exhausted');
    else this.send(entry, choice.state, choice.expectedMs);
  }

  private decideAdmission(entry: QueueEntry): AdmissionDecision {
    const queuedAheadMs = this.queue.queuedAheadMs(entry, monotonicMs());
    this.relaxExclusion(entry);
    const input = {
      ...this.retryAfterInput(entry),
      hasReplica: this.replicas.eligible(entry.excluded).length > 0,
      hasFreeSlot: this.queue.size === 0 && this.replicas.capacity.free > 0,
      queuedAheadMs,
      slotWaitMs: this.slotWaitMs(monotonicMs()),
    };
    return admit(input, Math.random());
  }

  /** Clears the exclusions if no other replica is available. */
  private relaxExclusion({ excluded }: QueueEntry): void {
    if (this.replicas.eligible(excluded).length === 0) excluded.clear();
  }

  private enqueue(entry: QueueEntry): void {
    entry.call.signal.addEventListener('abort', entry.onAbort, { once: true });
    const dropped = this.queue.add(entry, monotonicMs());
    if (dropped) this.rejectWithRetryAfter(dropped, 'queue-full');
  }

  private cancel(entry: QueueEntry): void {
    if (this.queue.remove(entry)) this.end(entry, CANCELLED_RESULT);
  }

  private end(entry: QueueEntry, result: DispatchResult): void {
    entry.call.signal.removeEventListener('abort', entry.onAbort);
    entry.resolve(result);
  }

  /** Rejects a request that may be retried after the queue has drained. */
  private rejectWithRetryAfter(entry: QueueEntry, reason: RejectionReason, expectedWaitMs?: number): void {
    this.reject(entry, { kind: 'reject', reason, retryAfterMs: this.retryAfterMs(entry), expectedWaitMs });
  }

  private rejectWithoutRetryAfter(entry: QueueEntry, reason: RejectionReason): void {
    this.reject(entry, { kind: 'reject', reason, retryAfterMs: 0 });
  }

  private reject(entry: QueueEntry, rejection: Rejection): void {
    this.queue.remove(entry);
    const text = rejectionText(rejection);
    const reason = entry.lastDecline === '' ? text : `${text}; last decline: ${entry.lastDecline}`;
    const { retryAfterMs } = rejection;
    const { service, services, capacity } = this;
    if (!entry.call.isHedge) reportRejection(services, service, { entry, reason, retryAfterMs, capacity });
    this.end(entry, {
      outcome: { kind: 'declined', reason, isFull: true },
      hasCrashedReplica: false,
      retryAfterMs: retryAfterMs > 0 ? retryAfterMs : undefined,
      capacity,
      isLeaving: this.isClosed,
    });
  }

  private retryAfterMs(entry: QueueEntry): number {
    return retryAfterMs(this.retryAfterInput(entry), Math.random());
  }

  private retryAfterInput({ serviceTimeMs, deadlineMs }: QueueEntry) {
    return {
      queuedMs: this.queue.queuedMs,
      drainPerMs: this.replicas.drainPerMs,
      serviceTimeMs,
      remainingMs: deadlineMs - monotonicMs(),
    };
  }

  private assignQueued(): void {
    this.rejectUnreachable(0);
    const skipped = new Set<QueueEntry>();
    let skippedMs = 0;
    while (skipped.size < MAX_SKIPPED_PER_PASS && this.queue.size > skipped.size && this.capacity.free > 0) {
      const entry = this.queue.next(monotonicMs(), (candidate) => !skipped.has(candidate));
      if (!entry) break;
      const choice = this.replicas.choose(entry.excluded, entry.serviceTimeMs, skippedMs);
      if (choice.kind === 'send') this.assign(entry, choice.state, choice.expectedMs);
      else if (choice.kind === 'none') this.rejectWithRetryAfter(entry, 'no-replica');
      else {
        skipped.add(entry);
        skippedMs += entry.serviceTimeMs;
      }
    }
    this.rejectUnreachable(EXPIRY_MARGIN_MS);
    this.scheduler.armTimer();
  }

  private assign(entry: QueueEntry, state: ReplicaState, expectedMs: number): void {
    this.queue.remove(entry);
    this.queue.recordSlotAssigned();
    const waitedMs = monotonicMs() - entry.sinceMs;
    this.services.metrics.waitedSeconds.observe({ service: this.service }, waitedMs / 1_000);
    const obstacle = this.services.obstacle(entry.call);
    if (obstacle) this.rejectWithoutRetryAfter(entry, obstacle);
    else this.send(entry, state, expectedMs);
  }

  private rejectUnreachable(marginMs: number): void {
    if (this.queue.size === 0) return;
    const nowMs = monotonicMs();
    const slotWaitMs = this.slotWaitMs(nowMs);
    for (const entry of [...this.queue]) {
      const { deadlineMs, serviceTimeMs } = entry;
      const remainingMs = deadlineMs - nowMs;
      if (isDeadlineUnreachable({ remainingMs, slotWaitMs, serviceTimeMs }, marginMs))
        this.rejectWithRetryAfter(entry, 'deadline-unreachable', slotWaitMs);
    }
  }

  private slotWaitMs(nowMs: number): number {
    return this.replicas.slotWaitMs((replicaId) => this.running.runningAt(replicaId), nowMs);
  }

  private send(entry: QueueEntry, state: ReplicaState, expectedMs: number): void {
    const { call, serviceTimeMs, deadlineMs } = entry;
    const sentAtMs = monotonicMs();
    this.usage.add(call.flow, expectedMs, sentAtMs);
    const request = { ...call.request, remainingMs: deadlineMs - sentAtMs, signal: call.signal };
    const endRun = this.running.begin(call.request.id, state.id, { sentAtMs, serviceTimeMs });
    call.onHandOver?.(true);
    const { configVersion, jobId } = call;
    const waitedMs = Math.round(sentAtMs - entry.sinceMs);
    const transitMs = call.transitMs === undefined ? undefined : Math.round(call.transitMs);
    void this.services.exchange
      .attempt(state, request, { configVersion, jobId, waitedMs, transitMs, expectedMs: serviceTimeMs })
      .then((outcome) => {
        const tookMs = monotonicMs() - sentAtMs;
        if (outcome.kind === 'answered')
          state.recordLatencyRatio(this.serviceTimes.record(call.workKind, tookMs));
        endRun();
        this.usage.add(call.flow, tookMs - expectedMs, monotonicMs());
        this.finish(entry, state, outcome);
        this.scheduler.schedule();
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

  /** Requeues a declined request with its original arrival time. Returns false if it must not be requeued. */
  private requeue(entry: QueueEntry, reason: string, replicaId: string): boolean {
    entry.declines += 1;
    entry.lastDecline = reason;
    const { isHedge, signal, onHandOver } = entry.call;
    if (!mayRequeue(entry.declines, isHedge, signal.aborted)) return false;
    onHandOver?.(false);
    entry.excluded.add(replicaId);
    this.relaxExclusion(entry);
    this.enqueue(entry);
    return true;
  }
}
