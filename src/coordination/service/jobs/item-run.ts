/** Runs one item of a job from its first event to its score. */
import { monotonicMs, sleep } from '../../../common/clock.js';
import type { DecisionLogger } from '../../../common/decision-logger.js';
import type { ServiceMetrics } from '../../../common/service-metrics.js';
import type {
  JobItem,
  JobResult,
  JobSpecification,
  PartialText,
} from '../../../protocol/service/batch-job.js';
import type { ReplicaClient } from '../../../protocol/service/replica.js';
import type { Route } from '../../../protocol/service/routing-configuration.js';
import type {
  RoutingSnapshot,
  RoutingTable,
  TargetSplitter,
} from '../../../state/service/configuration/index.js';
import type {
  ReplicaDirectory,
  ReplicaState,
  WeightVersions,
} from '../../../state/service/replicas/index.js';
import { type CrashCheck, digestOf, type IdentifiedRequest } from '../dispatch/index.js';
import type { Placement, PlacementRequest, SampleLengths, SampleScorer } from '../generation/index.js';
import {
  type AttemptPace,
  attemptGeneration,
  type GenerationOutcome,
  type GenerationTerms,
  SampleMoves,
  SampleText,
} from '../generation/index.js';
import type { RequestQuarantine } from '../requests/index.js';

/** What items of a node's jobs share. */
export interface ItemServices {
  readonly routing: RoutingTable;
  readonly splitter: TargetSplitter;
  readonly placement: Placement;
  readonly client: ReplicaClient;
  readonly endCheck: CrashCheck;
  readonly quarantine: RequestQuarantine;
  readonly scorer: SampleScorer;
  readonly lengths: SampleLengths;
  readonly directory: ReplicaDirectory;
  readonly versions: WeightVersions;
  readonly metrics: ServiceMetrics;
  readonly logger: DecisionLogger;
}

/** The job that an item belongs to. */
export interface ItemJob {
  readonly jobId: string;
  readonly host: string;
  readonly path: string;
  /** Tenant that the job belongs to, if any. */
  readonly tenant: string | undefined;
  readonly specification: JobSpecification;
  /** Time of acceptance on the monotonic clock, milliseconds. */
  readonly acceptedAtMs: number;
  /** Replica that each group was placed at. */
  readonly groupReplicas: Map<string, ReplicaState>;
  readonly signal: AbortSignal;
}

/** Ranks of placement: interrupted items go before new ones. */
const RANK_INTERRUPTED = 0;
const RANK_NEW = 1;
/** Silence after which a stream is taken up elsewhere, as a multiple of the route's target latency. */
const STALL_FACTOR = 3;
const MIN_STALL_MS = 1_000;
/** A route that is gone for this long is not expected back, milliseconds. */
const ROUTE_GONE_MS = 3_000;
const ROUTE_POLL_MS = 100;
const DEFAULT_DEADLINE_MS = 60_000;
const SHORTEST_DEADLINE_MS = 1_000;
/** How often an item that is held back looks whether it may run, milliseconds. */
const HELD_POLL_MS = 250;
/** Pause after a replica declined an item, milliseconds. */
const DECLINED_PAUSE_MS = 60;

/** One item under way. */
export class ItemRun {
  readonly text: SampleText;
  private failures = 0;
  private attempts = 0;
  /** Whether a part of the text is made, here or by an earlier owner, so that the item goes before new ones. */
  private isBegun: boolean;
  /** Whether it waits because replicas have ended under it. */
  private isQuarantined = false;
  private readonly moves = new SampleMoves();
  /** What makes the item the same request in each of its runs, also in another job. */
  private readonly identified: IdentifiedRequest;

  constructor(
    private readonly services: ItemServices,
    private readonly job: ItemJob,
    readonly item: JobItem,
    kept: PartialText | undefined,
  ) {
    this.text = kept && this.isUsable(kept) ? SampleText.from(kept) : new SampleText();
    this.isBegun = this.text.eventCount > 0;
    const { host, tenant } = job;
    this.identified = { method: 'POST', path: item.path, host, tenant, body: item.body };
  }

  /** Resolves to the result, or to `undefined` when the job's signal was aborted before. */
  async run(): Promise<JobResult | undefined> {
    while (!this.text.isComplete) {
      if (this.job.signal.aborted) return undefined;
      const route = await this.awaitRoute();
      if (!route) return this.job.signal.aborted ? undefined : this.dead('the route is gone');
      if (this.ageMs > route.maxQueueMs) return this.dead('the longest time in the queue has passed');
      if (await this.mustWaitInQuarantine(route)) continue;
      const outcome = await this.attempt(route);
      const verdict = outcome && (await this.judge(outcome, route));
      if (verdict) return verdict;
    }
    return this.score();
  }

  /** A kept text counts when its versions fit the job. */
  private isUsable(kept: PartialText): boolean {
    return kept.versions.every((version) => version >= this.job.specification.minVersion);
  }

  private get ageMs(): number {
    return monotonicMs() - this.job.acceptedAtMs;
  }

  private matchRoute(): { snapshot: RoutingSnapshot; route: Route } | undefined {
    const snapshot = this.services.routing.current;
    const route =
      snapshot?.match(this.job.host, this.item.path) ?? snapshot?.match(this.job.host, this.job.path);
    return snapshot && route && { snapshot, route };
  }

  private async awaitRoute(): Promise<Route | undefined> {
    const goneAtMs = monotonicMs();
    for (;;) {
      const matched = this.matchRoute();
      if (matched) return matched.route;
      const isKnown = this.services.routing.current !== undefined;
      if (this.job.signal.aborted) return undefined;
      if (isKnown && monotonicMs() - goneAtMs > ROUTE_GONE_MS) return undefined;
      await sleep(ROUTE_POLL_MS, this.job.signal);
    }
  }

  /** One attempt; `undefined` when the job was stopped while the item waited. */
  private async attempt(route: Route): Promise<GenerationOutcome | undefined> {
    const { placement } = this.services;
    const queuedAt = monotonicMs();
    const state = await placement.acquire(this.placementRequest(route));
    if (!state) return undefined;
    const startedAt = monotonicMs();
    const eventsBefore = this.text.eventCount;
    this.job.groupReplicas.set(this.item.group, state);
    this.isBegun = true;
    this.attempts += 1;
    let wasTaken = false;
    const terms = this.termsAt(route, state, () => {
      wasTaken = true;
      placement.noteTaken(state);
    });
    const outcome = await attemptGeneration(this.services.client, state, this.item, this.text, terms);
    placement.release(state, wasTaken);
    const took = { waitedMs: startedAt - queuedAt, tookMs: monotonicMs() - startedAt };
    const replicaEnded = await this.hasEnded(state, outcome);
    const events = this.text.eventCount - eventsBefore;
    if (replicaEnded && events === 0 && !state.isLeaving)
      this.services.quarantine.noteCrash(this.identified, state.replica);
    if (outcome.kind === 'whole') this.services.quarantine.noteServed(this.identified);
    this.noteOutcome(state, outcome, took, events, replicaEnded);
    return outcome;
  }

  /**
   * Waits a little if replicas have ended under the item. It is not given up for that: a replica's end is no answer, so the
   * item stays owed until its time is over. A run that made events accuses nothing, since the next one goes on after them.
   */
  private async mustWaitInQuarantine(route: Route): Promise<boolean> {
    const verdict = this.services.quarantine.judge(this.identified);
    if (verdict.kind !== 'held') {
      this.isQuarantined = false;
      return false;
    }
    if (!this.isQuarantined) {
      this.report('held back', `${verdict.ends} replicas have ended under it`);
      this.services.quarantine.noteQuarantined(route.targets[0]?.service ?? '');
    }
    this.isQuarantined = true;
    await sleep(Math.min(HELD_POLL_MS, verdict.retryAfterMs), this.job.signal);
    return true;
  }

  /** Whether the replica was found to have ended under the item; `undefined` when its connection did not break. */
  private async hasEnded(state: ReplicaState, outcome: GenerationOutcome): Promise<boolean | undefined> {
    if (outcome.kind !== 'broken' || !outcome.isConnectionLost) return undefined;
    return this.services.endCheck.hasCrashed(state);
  }

  /** What the item asks of a replica. The service stays while the route leads to it. */
  private placementRequest(route: Route): PlacementRequest {
    const chosen = this.services.splitter.next(route)?.service;
    const leadsToChosen = () =>
      this.matchRoute()?.route.targets.some((target) => target.service === chosen) ?? false;
    return {
      service: () => (leadsToChosen() ? chosen : this.currentTarget()),
      slots: (candidate) => this.slotsOf(candidate),
      accepts: (candidate) => this.fits(candidate) && !this.moves.hasJustLeft(candidate),
      preferred: () => this.job.groupReplicas.get(this.item.group),
      expectedEvents: this.services.lengths.remaining(this.item, this.text.eventCount),
      priority: this.isBegun ? RANK_INTERRUPTED : RANK_NEW,
      signal: this.job.signal,
    };
  }

  /** The terms of an attempt at one replica. */
  private termsAt(route: Route, state: ReplicaState, onTaken: () => void): GenerationTerms {
    const { model, minVersion } = this.job.specification;
    return {
      host: this.job.host,
      tenant: this.job.tenant,
      model,
      minVersion,
      isSingleVersion: route.isSingleVersion,
      remainingMs: Math.min(
        DEFAULT_DEADLINE_MS,
        Math.max(SHORTEST_DEADLINE_MS, route.maxQueueMs - this.ageMs),
      ),
      onTaken,
      onVersion: (version) => this.noteVersion(state, version),
      reasonToMove: (pace) => this.reasonToMove(route, state, pace),
      stallMs: Math.max(MIN_STALL_MS, route.targetLatencyMs * STALL_FACTOR),
      signal: this.job.signal,
    };
  }

  /** An event shows which version a replica has, often before it is announced; one that nobody has named is a fault. */
  private noteVersion(state: ReplicaState, version: number): void {
    const { model } = this.job.specification;
    if (version <= this.services.versions.newestOf(model))
      this.services.directory.noteVersion(state, model, version);
  }

  private fits(candidate: ReplicaState): boolean {
    const { model, minVersion } = this.job.specification;
    return model === '' || candidate.versionOf(model) >= minVersion;
  }

  /** Why the sample should go on at another replica that has a version which fits, if it should. */
  private reasonToMove(route: Route, state: ReplicaState, { eventMs }: AttemptPace): string | undefined {
    if (!this.moves.mayMove) return undefined;
    const [version] = route.isSingleVersion ? this.text.versions : [];
    const elsewhere = this.services.placement.fastest({
      service: state.replica.service,
      slots: (candidate) => this.slotsOf(candidate),
      accepts: (candidate) =>
        candidate !== state &&
        this.fits(candidate) &&
        (version === undefined || candidate.versionOf(this.job.specification.model) === version),
    });
    if (!elsewhere) return undefined;
    const remaining = this.services.lengths.remaining(this.item, this.text.eventCount);
    if (!SampleMoves.isWorthwhile(eventMs, elsewhere, remaining)) return undefined;
    const times = `${Math.round(eventMs)} ms an event here, ${Math.round(elsewhere.eventMs)} elsewhere`;
    return `${times}, about ${Math.round(remaining)} left`;
  }

  private currentTarget(): string | undefined {
    const route = this.matchRoute()?.route;
    return route && this.services.splitter.next(route)?.service;
  }

  private slotsOf(state: ReplicaState): number {
    return this.services.routing.current?.slotsOf(state.replica) ?? state.replica.slots;
  }

  private noteOutcome(
    state: ReplicaState,
    outcome: GenerationOutcome,
    { waitedMs, tookMs }: { waitedMs: number; tookMs: number },
    events: number,
    replicaEnded: boolean | undefined,
  ): void {
    const { service, id } = state.replica;
    if (outcome.kind === 'whole') state.noteFinished();
    else if (outcome.kind === 'moved') this.moves.note(state);
    else if (outcome.kind === 'declined' && outcome.isFull) state.backOff(DECLINED_PAUSE_MS);
    else if (outcome.kind === 'declined' || outcome.kind === 'broken') state.noteFailure();
    else if (outcome.kind === 'wrong-version') state.backOff(DECLINED_PAUSE_MS);
    if (outcome.kind !== 'whole') this.job.groupReplicas.delete(this.item.group);
    this.services.metrics.attempts.inc({ service, outcome: outcome.kind });
    this.services.logger.record({
      event: 'attempt-ended',
      requestId: this.item.id,
      jobId: this.job.jobId,
      group: this.item.group,
      service,
      replica: id,
      outcome: outcome.kind,
      detail: `${events} events${'reason' in outcome ? `, ${outcome.reason}` : ''}`,
      ...(replicaEnded === undefined
        ? {}
        : { digest: digestOf(this.identified), replicaEnded: replicaEnded ? 'yes' : 'no' }),
      tookMs: Math.round(tookMs),
      waitedMs: Math.round(waitedMs),
      inFlight: state.inFlight,
      configVersion: this.services.routing.current?.version ?? 0,
    });
  }

  /** The final result of an outcome, or `undefined` to go on. */
  private async judge(outcome: GenerationOutcome, route: Route): Promise<JobResult | undefined> {
    if (outcome.kind === 'impossible') return this.dead(outcome.reason);
    if (outcome.kind === 'wrong-version' && route.isSingleVersion) this.text.clear();
    if (outcome.kind === 'failed') {
      this.failures += 1;
      if (this.failures >= route.maxAttempts) return this.dead(`${this.failures} failures`);
    }
    return undefined;
  }

  private async score(): Promise<JobResult | undefined> {
    this.services.lengths.note(this.item, this.text.eventCount);
    const { scoring } = this.item;
    if (!scoring) return this.completed(undefined);
    const scored = await this.services.scorer.score(scoring, this.job);
    if (scored.kind === 'scored') return this.completed(scored.score);
    return scored.kind === 'cancelled' ? undefined : this.dead(scored.reason);
  }

  private completed(score: string | undefined): JobResult {
    this.report('completed');
    return {
      id: this.item.id,
      state: 'completed',
      text: this.text.join(),
      versions: this.text.versions,
      score,
    };
  }

  private dead(reason: string): JobResult {
    this.report('dead', reason);
    return { id: this.item.id, state: 'dead', text: '', versions: [], score: undefined };
  }

  private report(change: string, detail?: string): void {
    this.services.logger.record({
      event: 'item-changed',
      requestId: this.item.id,
      jobId: this.job.jobId,
      group: this.item.group,
      change,
      events: this.text.eventCount,
      versions: this.text.versions.join(','),
      attempts: this.attempts,
      ageMs: Math.round(this.ageMs),
      detail,
    });
  }
}
