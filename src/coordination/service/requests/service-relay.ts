/**
 * Relays one request to a replica of its route's service and returns the whole answer. Safe requests are tried again
 * on another replica, also while a silent one may still answer; other requests only when a replica said that it did not
 * run them. The final answer is given at once: at the deadline, at the route's time-out, or when nothing is left to try. Under
 * a request that ends replicas no more of them are put at risk than it takes to tell.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { Route } from '../../../protocol/service/routing-configuration.js';
import type { RoutingSnapshot, TargetSplitter } from '../../../state/service/configuration/index.js';
import type { Verdict } from '../../../state/service/replicas/index.js';
import type { BufferedAnswer, DispatchCall, DispatchResult } from '../dispatch/index.js';
import type { RequestQuarantine } from './request-quarantine.js';

/** A request to relay. */
export interface RelayedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  /** Tenant on whose behalf it runs, if any. */
  readonly tenant?: string;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
  readonly route: Route;
  readonly snapshot: RoutingSnapshot;
  /** Time on the monotonic clock until which the caller waits, milliseconds. */
  readonly deadlineMs: number;
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal;
  /** Whether a second replica is asked while the first is silent. */
  readonly isHedged: boolean;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Who is charged for its use of replicas. */
  readonly flow: string;
  /** Whether it is work in the background, which gives way to callers. */
  readonly isBackground: boolean;
  /** When its caller wants the answer, on the monotonic clock, milliseconds. */
  readonly targetAtMs: number;
}

/** Sends an attempt; `isRepeatable` says whether the request may run more than once. Never rejects. */
export type SendAttempt = (call: DispatchCall, isRepeatable: boolean) => Promise<DispatchResult>;

/** What the caller is told. */
export type RelayOutcome =
  | { readonly kind: 'answered'; readonly answer: BufferedAnswer; readonly attempts: readonly string[] }
  /** Did not run and will not run. */
  | {
      readonly kind: 'refused';
      readonly reason: string;
      readonly retryAfterMs: number;
      readonly attempts: readonly string[];
    }
  /** May have run. */
  | {
      readonly kind: 'failed';
      readonly reason: string;
      readonly isTimeout: boolean;
      readonly attempts: readonly string[];
    }
  | { readonly kind: 'cancelled'; readonly attempts: readonly string[] };

/** When a refused caller should come back where nothing else is known, milliseconds. */
const RETRY_AFTER_MS = 100;
/** A silent replica is doubled after this part of the target latency, but not before `MIN_HEDGE_MS`. */
const HEDGE_FRACTION = 0.5;
const MIN_HEDGE_MS = 60;
/**
 * Replicas are told how much time is left, and say themselves that it is over. For this long after the end they may, so that
 * their connection stays usable, milliseconds.
 */
const REPLICA_END_MS = 250;
/** Below this remaining time a further attempt makes no sense, milliseconds. */
const MIN_ATTEMPT_MS = 5;

/** Counts a request of a tenant that is sent now; call what it returns if the request turns out not to have run. */
export type RunCounter = (tenant: string) => () => void;

/** Relays requests. */
export class ServiceRelay {
  constructor(
    private readonly splitter: TargetSplitter,
    private readonly send: SendAttempt,
    private readonly quarantine: RequestQuarantine,
    private readonly countRun: RunCounter = () => () => {},
  ) {}

  /** Runs one request to its end. Never rejects. */
  relay(request: RelayedRequest): Promise<RelayOutcome> {
    const target = this.splitter.next(request.route);
    if (!target) {
      const reason = 'the route has no service';
      return Promise.resolve({ kind: 'refused', reason, retryAfterMs: RETRY_AFTER_MS, attempts: [] });
    }
    return new RelayRun(request, target.service, this.send, this.quarantine, this.countRun).run();
  }
}

/** An attempt that has come back; `isExtra` says whether it was made beside another. */
interface Attempt {
  readonly result: DispatchResult;
  readonly isHedge: boolean;
}

/** One request on its way. */
class RelayRun {
  private readonly deadlineMs: number;
  private readonly tried = new Set<string>();
  private readonly controller = new AbortController();
  private runs = 0;
  /** Whether no place was found for it: then it is not sent again. */
  private isDeclined = false;
  private retryAfterMs = RETRY_AFTER_MS;
  private mayHaveRun = false;
  /** Whether a replica is known to have had it: only then another attempt is load that attempts make of themselves. */
  private hasReachedReplica = false;
  /** Before this time no second attempt is made beside a silent one, on the monotonic clock. */
  private hedgeAtMs = 0;
  private lastFailure: BufferedAnswer | undefined;
  private lastReason = 'none available';
  /** Attempts that run or may have run: the request counts once for its tenant while there is any. */
  private countedAttempts = 0;
  /** Pending attempts that still wait at this node: they have certainly not run. */
  private readonly waitingHere = new Set<object>();
  private uncount = () => {};

  constructor(
    private readonly request: RelayedRequest,
    private readonly service: string,
    private readonly send: SendAttempt,
    private readonly quarantine: RequestQuarantine,
    private readonly countRun: RunCounter,
  ) {
    this.deadlineMs = Math.min(request.deadlineMs, monotonicMs() + request.route.timeoutMs);
  }

  async run(): Promise<RelayOutcome> {
    const onGone = () => this.controller.abort();
    if (this.request.signal.aborted) return { kind: 'cancelled', attempts: [] };
    this.request.signal.addEventListener('abort', onGone, { once: true });
    try {
      return await this.runAttempts();
    } finally {
      this.request.signal.removeEventListener('abort', onGone);
    }
  }

  private async runAttempts(): Promise<RelayOutcome> {
    const pending = new Set<Promise<Attempt>>();
    for (;;) {
      if (this.request.signal.aborted) return this.finish({ kind: 'cancelled', attempts: this.attempts });
      if (monotonicMs() >= this.deadlineMs - MIN_ATTEMPT_MS && pending.size === 0)
        return this.finish(this.timedOut());
      if (this.mayStart(pending.size)) this.start(pending);
      else if (pending.size === 0) return this.finish(this.exhausted());
      const outcome = await this.nextOutcome(pending);
      if (outcome === 'timeout') return this.finish(this.timedOut());
      if (outcome === 'hedge') continue;
      const final = this.judge(outcome);
      if (final) return this.finish(final);
    }
  }

  /** Whether another attempt may be made now. */
  private mayStart(pendingCount: number): boolean {
    if (pendingCount > 0 && monotonicMs() < this.hedgeAtMs) return false;
    return this.mayHedge(pendingCount);
  }

  /**
   * Whether another attempt may run beside the pending ones. Where a replica has ended under the request, a second one is not
   * put at risk while the first is silent.
   */
  private mayHedge(pendingCount: number): boolean {
    if (this.isDeclined) return false;
    if (this.runs + pendingCount >= this.request.route.maxAttempts) return false;
    const verdict = this.quarantine.judge(this.request);
    if (verdict.kind === 'held') return false;
    return pendingCount === 0 || (this.request.isHedged && verdict.kind === 'clear');
  }

  private start(pending: Set<Promise<Attempt>>): void {
    const isHedge = pending.size > 0;
    const attempt = {};
    const onHandOver = (mayRun: boolean) => {
      if (mayRun) this.waitingHere.delete(attempt);
      else this.waitingHere.add(attempt);
    };
    this.waitingHere.add(attempt);
    this.noteSent();
    const sent = this.send({ ...this.toCall(isHedge), onHandOver }, this.isRepeatable);
    this.hedgeAtMs = monotonicMs() + this.hedgeDelayMs();
    const tracked: Promise<Attempt> = sent.then((result) => {
      pending.delete(tracked);
      this.waitingHere.delete(attempt);
      const { outcome, replica, hasCrashedReplica } = result;
      if (replica && outcome.kind !== 'declined') this.hasReachedReplica = true;
      if (replica) this.tried.add(replica.id);
      if (outcome.kind === 'declined') this.noteNotExecuted();
      if (hasCrashedReplica && replica) this.quarantine.noteCrash(this.request, replica);
      return { result, isHedge };
    });
    pending.add(tracked);
  }

  private noteSent(): void {
    const { tenant } = this.request;
    this.countedAttempts += 1;
    if (tenant !== undefined && this.countedAttempts === 1) this.uncount = this.countRun(tenant);
  }

  private noteNotExecuted(): void {
    this.countedAttempts -= 1;
    if (this.countedAttempts === 0) this.uncount();
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
      excluded: this.tried,
      configVersion: this.request.snapshot.version,
      signal: this.controller.signal,
    };
  }

  /** The next outcome of a pending attempt, the moment to hedge, or the end of the time. */
  private async nextOutcome(pending: ReadonlySet<Promise<Attempt>>): Promise<Attempt | 'timeout' | 'hedge'> {
    const nowMs = monotonicMs();
    const remainingMs = Math.max(0, this.deadlineMs - nowMs);
    const hedgeMs = this.mayHedge(pending.size)
      ? Math.max(0, this.hedgeAtMs - nowMs)
      : Number.POSITIVE_INFINITY;
    const waitMs = Math.min(remainingMs, hedgeMs);
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<'timeout' | 'hedge'>((resolve) => {
      timer = setTimeout(() => resolve(hedgeMs < remainingMs ? 'hedge' : 'timeout'), waitMs);
    });
    try {
      return await Promise.race([...pending, timeout]);
    } finally {
      clearTimeout(timer);
    }
  }

  private hedgeDelayMs(): number {
    return Math.max(MIN_HEDGE_MS, this.request.route.targetLatencyMs * HEDGE_FRACTION);
  }

  /** The final outcome, or `undefined` to go on. */
  private judge({ result, isHedge }: Attempt): RelayOutcome | undefined {
    const { outcome, retryAfterMs } = result;
    if (outcome.kind === 'answered') return this.judgeAnswer(outcome.answer);
    if (outcome.kind === 'cancelled') return undefined;
    if (outcome.kind === 'declined' && isHedge) return undefined;
    this.lastReason = outcome.reason;
    if (outcome.kind === 'declined') {
      this.isDeclined = true;
      this.retryAfterMs = retryAfterMs ?? RETRY_AFTER_MS;
      return undefined;
    }
    this.runs += 1;
    this.mayHaveRun = true;
    return this.isRepeatable ? undefined : this.failed(false);
  }

  private judgeAnswer(answer: BufferedAnswer): RelayOutcome | undefined {
    const isFailure = answer.status >= 500;
    if (!isFailure) this.quarantine.noteServed(this.request);
    if (!isFailure || !this.isRepeatable) return { kind: 'answered', answer, attempts: this.attempts };
    this.runs += 1;
    this.mayHaveRun = true;
    this.lastFailure = answer;
    this.lastReason = `status ${answer.status}`;
    return undefined;
  }

  private get isRepeatable(): boolean {
    return this.request.route.kind === 'safe';
  }

  private get attempts(): string[] {
    return [...this.tried];
  }

  private exhausted(): RelayOutcome {
    if (this.lastFailure) return { kind: 'answered', answer: this.lastFailure, attempts: this.attempts };
    const verdict = this.quarantine.judge(this.request);
    if (verdict.kind === 'held') return this.quarantined(verdict);
    if (this.mayHaveRun) return this.failed(false);
    const reason = this.lastReason;
    return { kind: 'refused', reason, retryAfterMs: this.retryAfterMs, attempts: this.attempts };
  }

  /** A caller whose request has not run is told when it may; one whose request has run here is promised nothing. */
  private quarantined({ ends, retryAfterMs }: Extract<Verdict, { kind: 'held' }>): RelayOutcome {
    this.quarantine.noteQuarantined(this.service);
    this.lastReason = `${ends} replicas have ended under this request`;
    if (this.mayHaveRun) return this.failed(false);
    return { kind: 'refused', reason: this.lastReason, retryAfterMs, attempts: this.attempts };
  }

  /** An attempt that still waits here is withdrawn before it can run; where no other was made, the request has not run. */
  private timedOut(): RelayOutcome {
    for (const _ of this.waitingHere) this.noteNotExecuted();
    this.waitingHere.clear();
    if (this.countedAttempts === 0) return this.exhausted();
    this.lastReason = `the time is over; ${this.countedAttempts} attempt(s) made; before: ${this.lastReason}`;
    return this.failed(true);
  }

  private failed(isTimeout: boolean): RelayOutcome {
    return { kind: 'failed', reason: this.lastReason, isTimeout, attempts: this.attempts };
  }

  /**
   * Breaking an attempt off costs its connection. So one that is still under way after an answer is left to finish, and one
   * whose time is over to its replica's word for it.
   */
  private finish(outcome: RelayOutcome): RelayOutcome {
    if (outcome.kind === 'failed' && outcome.isTimeout)
      setTimeout(() => this.controller.abort(), REPLICA_END_MS).unref();
    else if (outcome.kind !== 'answered') this.controller.abort();
    return outcome;
  }
}
