/**
 * Makes the attempts of one item: places each at a replica, generates there, and reports what came of it to
 * the replica's state, the quarantine, the metrics and the log (`attempt-ended`). Whether another attempt
 * follows is decided by `item-run.ts`.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { JobItem } from '../../../protocol/service/batch-job.js';
import type { Route } from '../../../protocol/service/routing-configuration.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import { digestOf, type IdentifiedRequest } from '../dispatch/index.js';
import {
  type AttemptPace,
  attemptGeneration,
  type GenerationOptions,
  type GenerationOutcome,
  MovePolicy,
  type PlacementRequest,
  type SampleText,
} from '../generation/index.js';
import { attemptTimeoutMs, placementPriority, replicaFeedback, stallTimeoutMs } from './item-policy.js';
import type { ItemRoute } from './item-route.js';
import type { ItemJob, ItemServices } from './item-services.js';

/** First backoff of a replica that declined an item, milliseconds; it doubles. Chosen, not measured. */
const INITIAL_DECLINE_BACKOFF_MS = 60;

/** An attempt that has ended. */
interface EndedAttempt {
  readonly state: ReplicaState;
  readonly outcome: GenerationOutcome;
  /** Events that it added to the text. */
  readonly events: number;
  /** Whether its replica crashed; `undefined` when its connection was not lost. */
  readonly hasCrashed: boolean | undefined;
  readonly waitedMs: number;
  readonly tookMs: number;
}

/** The attempts of one item. */
export class ItemAttempts {
  private attempts = 0;
  /** Whether a part of the text exists, also from an earlier owner: the item goes before new ones. */
  private isStarted: boolean;
  private readonly movePolicy = new MovePolicy();

  constructor(
    private readonly services: ItemServices,
    private readonly job: ItemJob,
    private readonly item: JobItem,
    private readonly text: SampleText,
    private readonly route: ItemRoute,
    private readonly identity: IdentifiedRequest,
  ) {
    this.isStarted = text.eventCount > 0;
  }

  get count(): number {
    return this.attempts;
  }

  /** One attempt; `undefined` when the job was stopped while the item waited for a slot. */
  async run(route: Route): Promise<GenerationOutcome | undefined> {
    const { placement, client } = this.services;
    const queuedAtMs = monotonicMs();
    const state = await placement.acquire(this.placementRequest(route));
    if (!state) return undefined;
    const startedAtMs = monotonicMs();
    const eventsBefore = this.text.eventCount;
    this.job.groupReplicas.set(this.item.group, state);
    this.isStarted = true;
    this.attempts += 1;
    let wasTaken = false;
    const terms = this.optionsFor(route, state, () => {
      wasTaken = true;
      placement.markAccepted(state);
    });
    const outcome = await attemptGeneration(client, state, this.item, this.text, terms);
    placement.release(state, wasTaken);
    const waitedMs = startedAtMs - queuedAtMs;
    const tookMs = monotonicMs() - startedAtMs;
    const hasCrashed = await this.hasCrashed(state, outcome);
    const events = this.text.eventCount - eventsBefore;
    const ended: EndedAttempt = { state, outcome, events, hasCrashed, waitedMs, tookMs };
    this.updateQuarantine(ended);
    this.updateReplica(ended);
    this.report(ended);
    return outcome;
  }

  /** Whether the replica crashed under the item; `undefined` when the connection was not lost. */
  private async hasCrashed(state: ReplicaState, outcome: GenerationOutcome): Promise<boolean | undefined> {
    if (outcome.kind !== 'broken' || !outcome.isConnectionLost) return undefined;
    return this.services.crashCheck.hasCrashed(state);
  }

  /** Requirements of an attempt. The service stays the same while the route leads to it. */
  private placementRequest(route: Route): PlacementRequest {
    const chosen = this.services.splitter.next(route)?.service;
    return {
      service: () => this.route.resolveService(chosen),
      slots: (candidate) => this.slotsOf(candidate),
      accepts: (candidate) =>
        this.hasRequiredVersion(candidate) && !this.movePolicy.hasRecentlyLeft(candidate),
      preferred: () => this.job.groupReplicas.get(this.item.group),
      expectedEvents: this.services.lengths.remainingEvents(this.item, this.text.eventCount),
      priority: placementPriority(this.isStarted),
      signal: this.job.signal,
    };
  }

  private optionsFor(route: Route, state: ReplicaState, onTaken: () => void): GenerationOptions {
    const { model, minVersion } = this.job.specification;
    return {
      host: this.job.host,
      tenant: this.job.tenant,
      model,
      minVersion,
      isSingleVersion: route.isSingleVersion,
      remainingMs: attemptTimeoutMs(route, monotonicMs() - this.job.acceptedAtMs),
      onAccepted: onTaken,
      onVersion: (version) => this.updateVersion(state, version),
      reasonToMove: (pace) => this.reasonToMove(route, state, pace),
      stallMs: stallTimeoutMs(route),
      signal: this.job.signal,
    };
  }

  /** An event shows a replica's version before it is announced; one above all published ones is a fault. */
  private updateVersion(state: ReplicaState, version: number): void {
    const { model } = this.job.specification;
    if (version <= this.services.versions.newestOf(model))
      this.services.directory.recordVersion(state, model, version);
  }

  private hasRequiredVersion(candidate: ReplicaState): boolean {
    const { model, minVersion } = this.job.specification;
    return model === '' || candidate.versionOf(model) >= minVersion;
  }

  /** Why the sample should move to another replica with a version that fits, if it should. */
  private reasonToMove(route: Route, state: ReplicaState, { eventMs }: AttemptPace): string | undefined {
    if (!this.movePolicy.canMove) return undefined;
    const [version] = route.isSingleVersion ? this.text.versions : [];
    const elsewhere = this.services.placement.findMoveTarget({
      service: state.replica.service,
      slots: (candidate) => this.slotsOf(candidate),
      accepts: (candidate) =>
        candidate !== state &&
        this.hasRequiredVersion(candidate) &&
        (version === undefined || candidate.versionOf(this.job.specification.model) === version),
    });
    if (!elsewhere) return undefined;
    const remaining = this.services.lengths.remainingEvents(this.item, this.text.eventCount);
    if (!MovePolicy.isWorthwhile(eventMs, elsewhere, remaining)) return undefined;
    const times = `${Math.round(eventMs)} ms an event here, ${Math.round(elsewhere.eventMs)} elsewhere`;
    return `${times}, about ${Math.round(remaining)} left`;
  }

  private slotsOf(state: ReplicaState): number {
    return this.services.routing.current?.slotsOf(state.replica) ?? state.replica.slots;
  }

  /** A crash after events is no evidence against the item: the next attempt continues after them. */
  private updateQuarantine({ state, outcome, events, hasCrashed }: EndedAttempt): void {
    const { quarantine } = this.services;
    if (hasCrashed && events === 0 && !state.isLeaving) quarantine.reportCrash(this.identity, state.replica);
    if (outcome.kind === 'whole') quarantine.reportServed(this.identity);
  }

  private updateReplica({ state, outcome }: EndedAttempt): void {
    const feedback = replicaFeedback(outcome);
    if (feedback === 'served') state.recordFinished();
    else if (feedback === 'busy') state.backOff(INITIAL_DECLINE_BACKOFF_MS);
    else if (feedback === 'faulty') state.recordFailure();
    if (outcome.kind === 'moved') this.movePolicy.recordMove(state);
    if (outcome.kind !== 'whole') this.job.groupReplicas.delete(this.item.group);
  }

  private report({ state, outcome, events, hasCrashed, waitedMs, tookMs }: EndedAttempt): void {
    const { service, id } = state.replica;
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
      ...(hasCrashed === undefined
        ? {}
        : { digest: digestOf(this.identity), replicaEnded: hasCrashed ? 'yes' : 'no' }),
      tookMs: Math.round(tookMs),
      waitedMs: Math.round(waitedMs),
      inFlight: state.inFlight,
      configVersion: this.services.routing.current?.version ?? 0,
    });
  }
}
