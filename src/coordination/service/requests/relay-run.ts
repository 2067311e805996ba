/**
 * Runs one relayed request: starts attempts, retries and hedges by `relay-policy.ts` until there is an
 * outcome.
 */
import { MAX_TIMER_MS, monotonicMs } from '../../../common/clock.js';
import type { BufferedAnswer, DispatchCall, DispatchResult } from '../dispatch/index.js';
import { type ExecutionCounter, ExecutionTracker } from './execution-tracker.js';
import {
  classifyOutcome,
  DEFAULT_RETRY_AFTER_MS,
  exhaustedOutcome,
  hedgeDelayMs,
  isSafeToRetry,
  isTooLateToStart,
  mayStartAttempt,
} from './relay-policy.js';
import type { RelayedRequest, RelayOutcome } from './relayed-request.js';
import type { RequestQuarantine } from './request-quarantine.js';

/**
 * Time after the deadline before a pending attempt is aborted. Replicas know the deadline and normally end
 * the request themselves, which keeps the connection reusable; an abort closes it.
 */
const ABORT_GRACE_MS = 250;

/** Sends an attempt. `isRepeatable`: the request may run more than once. The promise never rejects. */
export type SendAttempt = (call: DispatchCall, isRepeatable: boolean) => Promise<DispatchResult>;

/** Dependencies of `RelayRun`. */
export interface RelayRunServices {
  readonly send: SendAttempt;
  readonly quarantine: RequestQuarantine;
  readonly countExecution: ExecutionCounter;
  /** Aborts when the request must be answered since the process exits. */
  readonly ending: AbortSignal;
}

/** A completed attempt. */
interface Attempt {
  readonly result: DispatchResult;
  readonly isHedge: boolean;
}

export class RelayRun {
  private readonly deadlineMs: number;
  private readonly isRepeatable: boolean;
  private readonly pending = new Set<Promise<Attempt>>();
  private readonly usedReplicaIds = new Set<string>();
  private readonly controller = new AbortController();
  private readonly executionTracker: ExecutionTracker;
  private failedAttempts = 0;
  private isDeclined = false;
  private retryAfterMs = DEFAULT_RETRY_AFTER_MS;
  private mayHaveRun = false;
  /** Whether any attempt reached a replica; only then do further attempts consume retry budget. */
  private hasReachedReplica = false;
  /** Earliest time of a hedge on the monotonic clock. */
  private hedgeAtMs = 0;
  private lastErrorAnswer: BufferedAnswer | undefined;
  private lastReason = 'no attempt was started';

  constructor(
    private readonly request: RelayedRequest,
    private readonly service: string,
    private readonly services: RelayRunServices,
  ) {
    this.deadlineMs = Math.min(request.deadlineMs, monotonicMs() + request.route.timeoutMs);
    this.isRepeatable = isSafeToRetry(request.route.kind);
    this.executionTracker = new ExecutionTracker(request.tenant, services.countExecution);
  }

  /** Runs the request to its outcome. Never rejects. */
  async run(): Promise<RelayOutcome> {
    const { signal } = this.request;
    const onCallerAbort = () => this.controller.abort();
    if (signal.aborted) return { kind: 'cancelled', attempts: [] };
    signal.addEventListener('abort', onCallerAbort, { once: true });
    try {
      return this.finish(await this.runAttempts());
    } finally {
      signal.removeEventListener('abort', onCallerAbort);
    }
  }

  private async runAttempts(): Promise<RelayOutcome> {
    while (!this.services.ending.aborted) {
      const finalOutcome = this.startOrFinish();
      if (finalOutcome) return finalOutcome;
      const event = await this.nextEvent();
      if (event === 'timeout') return this.timedOut();
      const final = typeof event === 'string' ? undefined : this.handleOutcome(event);
      if (final) return final;
    }
    return this.endedEarly();
  }

  /** Starts an attempt if allowed. Returns the final outcome if none is pending and none may start. */
  private startOrFinish(): RelayOutcome | undefined {
    if (this.request.signal.aborted) return { kind: 'cancelled', attempts: this.attempts };
    const hasPending = this.pending.size > 0;
    if (!hasPending && isTooLateToStart(monotonicMs(), this.deadlineMs)) return this.timedOut();
    const isBeforeHedge = hasPending && monotonicMs() < this.hedgeAtMs;
    if (!isBeforeHedge && this.mayStart()) this.start();
    else if (!hasPending) return this.exhausted();
    return undefined;
  }

  private mayStart(): boolean {
    return mayStartAttempt({
      pendingAttempts: this.pending.size,
      failedAttempts: this.failedAttempts,
      maxAttempts: this.request.route.maxAttempts,
      isDeclined: this.isDeclined,
      isHedged: this.request.isHedged,
      verdict: this.services.quarantine.evaluate(this.request),
    });
  }

  private start(): void {
    const isHedge = this.pending.size > 0;
    const token = this.executionTracker.start();
    const onHandOver = (mayRun: boolean) => this.executionTracker.recordHandOver(token, mayRun);
    const dispatched = this.services.send({ ...this.toCall(isHedge), onHandOver }, this.isRepeatable);
    this.hedgeAtMs = monotonicMs() + hedgeDelayMs(this.request.route.targetLatencyMs);
    const tracked: Promise<Attempt> = dispatched.then((result) => {
      this.pending.delete(tracked);
      this.executionTracker.recordOutcome(token, result.outcome.kind === 'declined');
      this.recordReplica(result);
      return { result, isHedge };
    });
    this.pending.add(tracked);
  }

  private recordReplica({ outcome, replica, hasCrashedReplica }: DispatchResult): void {
    if (!replica) return;
    if (outcome.kind !== 'declined') this.hasReachedReplica = true;
    this.usedReplicaIds.add(replica.id);
    if (hasCrashedReplica) this.services.quarantine.reportCrash(this.request, replica);
  }

  private toCall(isHedge: boolean): DispatchCall {
    const { id, method, path, host, tenant, headers, body, priority, flow, isBackground, targetAtMs, jobId } =
      this.request;
    return {
      service: this.service,
      workKind: this.request.route.name,
      request: { id, method, path, host, tenant, headers, body },
      priority,
      flow,
      isBackground,
      targetAtMs,
      deadlineMs: this.deadlineMs,
      isHedge,
      isRetry: this.hasReachedReplica,
      excluded: this.usedReplicaIds,
      configVersion: this.request.snapshot.version,
      jobId,
      signal: this.controller.signal,
    };
  }

  /** Resolves with the first of: the outcome of a pending attempt, the hedge timer, the deadline, the end. */
  private async nextEvent(): Promise<Attempt | 'timeout' | 'hedge' | 'ending'> {
    const { ending } = this.services;
    const nowMs = monotonicMs();
    const remainingMs = Math.max(0, this.deadlineMs - nowMs);
    const hedgeMs = this.mayStart() ? Math.max(0, this.hedgeAtMs - nowMs) : Number.POSITIVE_INFINITY;
    let timer: NodeJS.Timeout | undefined;
    let onEnding = () => {};
    const timeout = new Promise<'timeout' | 'hedge' | 'ending'>((resolve) => {
      const expire = () => resolve(hedgeMs < remainingMs ? 'hedge' : 'timeout');
      timer = setTimeout(expire, Math.min(remainingMs, hedgeMs, MAX_TIMER_MS));
      onEnding = () => resolve('ending');
      ending.addEventListener('abort', onEnding, { once: true });
    });
    try {
      return await Promise.race([...this.pending, timeout]);
    } finally {
      clearTimeout(timer);
      ending.removeEventListener('abort', onEnding);
    }
  }

  /** Returns the final outcome, or `undefined` to continue. */
  private handleOutcome({ result, isHedge }: Attempt): RelayOutcome | undefined {
    const verdict = classifyOutcome(result.outcome, isHedge, this.isRepeatable);
    if (verdict.kind === 'ignored') return undefined;
    if (verdict.kind === 'answer') {
      if (verdict.isServed) this.services.quarantine.reportServed(this.request);
      return { kind: 'answered', answer: verdict.answer, attempts: this.attempts };
    }
    this.lastReason = verdict.reason;
    if (verdict.kind === 'declined') {
      this.isDeclined = true;
      this.retryAfterMs = result.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
      return undefined;
    }
    this.failedAttempts += 1;
    this.mayHaveRun = true;
    this.lastErrorAnswer = verdict.answer ?? this.lastErrorAnswer;
    return verdict.isFinal ? this.failed(false) : undefined;
  }

  private get attempts(): string[] {
    return [...this.usedReplicaIds];
  }

  private exhausted(): RelayOutcome {
    const { lastErrorAnswer, mayHaveRun, lastReason, retryAfterMs, attempts } = this;
    const verdict = this.services.quarantine.evaluate(this.request);
    if (!lastErrorAnswer && verdict.kind === 'held') this.services.quarantine.countQuarantined(this.service);
    return exhaustedOutcome({ lastErrorAnswer, verdict, mayHaveRun, lastReason, retryAfterMs, attempts });
  }

  private timedOut(): RelayOutcome {
    const attemptsMade = this.cancelQueued();
    if (attemptsMade === 0) return this.exhausted();
    this.lastReason = `deadline exceeded after ${attemptsMade} attempt(s); last reason: ${this.lastReason}`;
    return this.failed(true);
  }

  /** Ends the request since the process exits, which would cut its connection without an answer. */
  private endedEarly(): RelayOutcome {
    this.lastReason = 'the node is stopping';
    return this.cancelQueued() === 0 ? this.exhausted() : this.failed(false);
  }

  /** Cancels locally queued attempts; returns how many others there were. Without any, the request did not run. */
  private cancelQueued(): number {
    this.executionTracker.cancelQueued();
    const attemptsMade = this.executionTracker.attemptCount;
    // Must be synchronous: otherwise the queue could still dispatch the attempts that were just cancelled.
    if (attemptsMade === 0) this.controller.abort();
    return attemptsMade;
  }

  private failed(isTimeout: boolean): RelayOutcome {
    return { kind: 'failed', reason: this.lastReason, isTimeout, attempts: this.attempts };
  }

  /**
   * Aborts pending attempts. An abort closes the connection to the replica, so attempts still pending after
   * an answer are left to complete, and those pending at the deadline get `ABORT_GRACE_MS` to do so.
   */
  private finish(outcome: RelayOutcome): RelayOutcome {
    if (outcome.kind === 'failed' && outcome.isTimeout)
      setTimeout(() => this.controller.abort(), ABORT_GRACE_MS).unref();
    else if (outcome.kind !== 'answered') this.controller.abort();
    return outcome;
  }
}
