/**
 * One relayed request, from its first attempt to the outcome that its caller gets.
 *
 * Owns: the attempts of the request and their abort signal. Relies on the rules of `relay-policy.ts`, on
 * dispatch for sending, and on the quarantine for its verdict. Attempts that fail are retried as the rules
 * allow until the deadline.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { BufferedAnswer, DispatchCall, DispatchResult } from '../dispatch/index.js';
import { type ExecutionCounter, ExecutionTracker } from './execution-count.js';
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
 * Time after the deadline in which the replica may still end the request by itself, milliseconds: it knows
 * the remaining time, and an abort would cost the connection. Chosen, not measured; the connections that it
 * saves are in docs/incidents/connections-after-time-outs.md.
 */
const ABORT_GRACE_MS = 250;

/** Sends an attempt; `isRepeatable` says whether the request may run more than once. Never rejects. */
export type SendAttempt = (call: DispatchCall, isRepeatable: boolean) => Promise<DispatchResult>;

/** An attempt with its outcome. */
interface Attempt {
  readonly result: DispatchResult;
  readonly isHedge: boolean;
}

/** One request under way. */
export class RelayRun {
  private readonly deadlineMs: number;
  private readonly isRepeatable: boolean;
  private readonly pending = new Set<Promise<Attempt>>();
  /** IDs of the replicas that were used. */
  private readonly usedReplicaIds = new Set<string>();
  private readonly controller = new AbortController();
  private readonly executionTracker: ExecutionTracker;
  private failedAttempts = 0;
  private isDeclined = false;
  private retryAfterMs = DEFAULT_RETRY_AFTER_MS;
  private mayHaveRun = false;
  /** Whether a replica took it: only then does another attempt draw on the retry budget. */
  private hasReachedReplica = false;
  /** Earliest time of a hedge, on the monotonic clock. */
  private hedgeAtMs = 0;
  private lastErrorAnswer: BufferedAnswer | undefined;
  private lastReason = 'none available';

  constructor(
    private readonly request: RelayedRequest,
    private readonly service: string,
    private readonly send: SendAttempt,
    private readonly quarantine: RequestQuarantine,
    countExecution: ExecutionCounter,
  ) {
    this.deadlineMs = Math.min(request.deadlineMs, monotonicMs() + request.route.timeoutMs);
    this.isRepeatable = isSafeToRetry(request.route.kind);
    this.executionTracker = new ExecutionTracker(request.tenant, countExecution);
  }

  /** Runs it to its end. Never rejects. */
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
    for (;;) {
      const finalOutcome = this.startOrFinish();
      if (finalOutcome) return finalOutcome;
      const event = await this.nextEvent();
      if (event === 'timeout') return this.timedOut();
      const final = event === 'hedge' ? undefined : this.handleOutcome(event);
      if (final) return final;
    }
  }

  /** Starts an attempt if one may start; the final outcome if none is pending and none may start. */
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
      verdict: this.quarantine.evaluate(this.request),
    });
  }

  private start(): void {
    const isHedge = this.pending.size > 0;
    const token = this.executionTracker.start();
    const onHandOver = (mayRun: boolean) => this.executionTracker.recordHandOver(token, mayRun);
    const dispatched = this.send({ ...this.toCall(isHedge), onHandOver }, this.isRepeatable);
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
    if (hasCrashedReplica) this.quarantine.reportCrash(this.request, replica);
  }

  private toCall(isHedge: boolean): DispatchCall {
    const { id, method, path, host, tenant, headers, body, priority, flow, isBackground, targetAtMs } =
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
      signal: this.controller.signal,
    };
  }

  /** The next outcome of a pending attempt, the time of a hedge, or the deadline, whichever comes first. */
  private async nextEvent(): Promise<Attempt | 'timeout' | 'hedge'> {
    const nowMs = monotonicMs();
    const remainingMs = Math.max(0, this.deadlineMs - nowMs);
    const hedgeMs = this.mayStart() ? Math.max(0, this.hedgeAtMs - nowMs) : Number.POSITIVE_INFINITY;
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<'timeout' | 'hedge'>((resolve) => {
      const expire = () => resolve(hedgeMs < remainingMs ? 'hedge' : 'timeout');
      timer = setTimeout(expire, Math.min(remainingMs, hedgeMs));
    });
    try {
      return await Promise.race([...this.pending, timeout]);
    } finally {
      clearTimeout(timer);
    }
  }

  /** The final outcome, or `undefined` to go on. */
  private handleOutcome({ result, isHedge }: Attempt): RelayOutcome | undefined {
    const verdict = classifyOutcome(result.outcome, isHedge, this.isRepeatable);
    if (verdict.kind === 'ignored') return undefined;
    if (verdict.kind === 'answer') {
      if (verdict.isServed) this.quarantine.reportServed(this.request);
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
    const verdict = this.quarantine.evaluate(this.request);
    if (!lastErrorAnswer && verdict.kind === 'held') this.quarantine.countQuarantined(this.service);
    return exhaustedOutcome({ lastErrorAnswer, verdict, mayHaveRun, lastReason, retryAfterMs, attempts });
  }

  /** At the deadline attempts queued here are withdrawn; where no other was made, the request has not run. */
  private timedOut(): RelayOutcome {
    this.executionTracker.cancelQueued();
    const attemptsMade = this.executionTracker.attemptCount;
    if (attemptsMade === 0) {
      // At once: a turn later another request's arrival could make the queue send what was just withdrawn.
      this.controller.abort();
      return this.exhausted();
    }
    this.lastReason = `the time is over; ${attemptsMade} attempt(s) made; before: ${this.lastReason}`;
    return this.failed(true);
  }

  private failed(isTimeout: boolean): RelayOutcome {
    return { kind: 'failed', reason: this.lastReason, isTimeout, attempts: this.attempts };
  }

  /**
   * An abort costs the attempt its connection. So attempts still pending after an answer are left to end, and
   * at the deadline the replica gets `REPLICA_END_MS` to end them.
   */
  private finish(outcome: RelayOutcome): RelayOutcome {
    if (outcome.kind === 'failed' && outcome.isTimeout)
      setTimeout(() => this.controller.abort(), ABORT_GRACE_MS).unref();
    else if (outcome.kind !== 'answered') this.controller.abort();
    return outcome;
  }
}
