/**
 * Makes the attempts of one item: places each at a replica, generates there, and reports the outcome to the
 * replica's state, the quarantine, the metrics and the log (`attempt-ended`). `item-run.ts` decides whether
 * another attempt follows.
 */
import { monotonicMs, sleep } from '../../../common/clock.js';
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
import { CrashBackoff } from './crash-backoff.js';
import { attemptTimeoutMs, placementPriority, replicaFeedback, stallTimeoutMs } from './item-policy.js';
import type { ItemRoute } from './item-route.js';
import type { ItemJob, ItemServices } from './item-services.js';
import { TextVersion } from './text-version.js';

/** Backoff of a replica after it declines an item; doubles with each further decline. */
const INITIAL_DECLINE_BACKOFF_MS = 60;
/** Pause of an item whose job is not confirmed to be open, milliseconds. */
const UNCONFIRMED_PAUSE_MS = 100;

interface EndedAttempt {
  readonly state: ReplicaState;
  readonly outcome: GenerationOutcome;
  /** Number of events that the attempt added to the text. */
  readonly events: number;
  /** Whether the replica crashed; `undefined` if the connection was not lost. */
  readonly hasCrashed: boolean | undefined;
  readonly waitedMs: number;
  readonly tookMs: number;
}

export class ItemAttempts {
  private attempts = 0;
  /** Whether the item was placed before, here or by an earlier owner; it then precedes new items. */
  private isStarted: boolean;
  /** Pause after the last attempt, milliseconds. */
  private pauseMs = 0;
  private readonly movePolicy = new MovePolicy();
  private readonly crashBackoff = new CrashBackoff();
  private readonly textVersion: TextVersion;

  constructor(
    private readonly services: ItemServices,
    private readonly job: ItemJob,
    private readonly item: JobItem,
    private readonly text: SampleText,
    private readonly route: ItemRoute,
    private readonly identity: IdentifiedRequest,
  ) {
    this.isStarted = text.eventCount > 0;
    this.textVersion = new TextVersion(job.specification.model, text);
  }

  get count(): number {
    return this.attempts;
  }

  /** Time to wait before the next attempt, milliseconds. */
  get backoffMs(): number {
    return this.pauseMs;
  }

  /**
   * Makes one attempt. Resolves to `undefined` if the job was stopped while the item waited for a slot, or if
   * its job may have ended.
   */
  async run(route: Route): Promise<GenerationOutcome | undefined> {
    const { placement, client } = this.services;
    const queuedAtMs = monotonicMs();
    const state = await placement.acquire(this.placementRequest(route));
    if (!state) return undefined;
    if (this.services.jobGate.check(this.job.jobId) !== 'open') {
      placement.release(state, false);
      await sleep(UNCONFIRMED_PAUSE_MS, this.job.signal);
      return undefined;
    }
    if (route.isSingleVersion && this.textVersion.mustRestartAt(state)) this.restartText(state);
    const startedAtMs = monotonicMs();
    const eventsBefore = this.text.eventCount;
    this.job.groupReplicas.set(this.item.group, state);
    this.isStarted = true;
    this.attempts += 1;
    let wasAccepted = false;
    const options = this.optionsFor(route, state, () => {
      wasAccepted = true;
      placement.markAccepted(state);
    });
    const outcome = await attemptGeneration(client, state, this.item, this.text, options);
    placement.release(state, wasAccepted);
    const waitedMs = startedAtMs - queuedAtMs;
    const tookMs = monotonicMs() - startedAtMs;
    const hasCrashed = await this.hasCrashed(state, outcome);
    const events = this.text.eventCount - eventsBefore;
    const ended: EndedAttempt = { state, outcome, events, hasCrashed, waitedMs, tookMs };
    this.recordCrash(ended);
    this.updateReplica(ended);
    this.report(ended);
    return outcome;
  }

  /** Discards the text: no replica that has its version takes the item. */
  private restartText(state: ReplicaState): void {
    const { versions, eventCount } = this.text;
    const { model } = this.job.specification;
    this.services.logger.record({
      event: 'item-changed',
      requestId: this.item.id,
      jobId: this.job.jobId,
      group: this.item.group,
      change: 'begins anew',
      events: eventCount,
      versions: versions.join(','),
      attempts: this.attempts,
      ageMs: Math.round(monotonicMs() - this.job.acceptedAtMs),
      detail: `${state.id} has version ${state.versionOf(model)}`,
    });
    this.text.clear();
    this.textVersion.recordProgress();
  }

  /** Whether the replica crashed during the attempt; `undefined` if the connection was not lost. */
  private async hasCrashed(state: ReplicaState, outcome: GenerationOutcome): Promise<boolean | undefined> {
    if (outcome.kind !== 'broken' || !outcome.isConnectionLost) return undefined;
    return this.services.crashCheck.hasCrashed(state);
  }

  /** The service selected here is kept for as long as the route includes it. */
  private placementRequest(route: Route): PlacementRequest {
    const selectedService = this.services.splitter.next(route)?.service;
    return {
      service: () => this.route.resolveService(selectedService),
      slots: (candidate) => this.slotsOf(candidate),
      accepts: (candidate) =>
        this.hasRequiredVersion(candidate) && !this.movePolicy.hasRecentlyLeft(candidate),
      restrictTo: route.isSingleVersion
        ? (candidate) => this.textVersion.allowsContinuationAt(candidate)
        : undefined,
      preferred: () => this.job.groupReplicas.get(this.item.group),
      expectedEvents: this.services.lengths.remainingEvents(this.item, this.text.eventCount),
      priority: placementPriority(this.isStarted),
      signal: this.job.signal,
    };
  }

  private optionsFor(route: Route, state: ReplicaState, onAccepted: () => void): GenerationOptions {
    const { model, minVersion } = this.job.specification;
    return {
      host: this.job.host,
      tenant: this.job.tenant,
      model,
      minVersion,
      isSingleVersion: route.isSingleVersion,
      remainingMs: attemptTimeoutMs(route, monotonicMs() - this.job.acceptedAtMs),
      onAccepted,
      onVersion: (version) => this.updateVersion(state, version),
      reasonToMove: (pace) => this.reasonToMove(route, state, pace),
      stallMs: stallTimeoutMs(route),
      signal: this.job.signal,
    };
  }

  /**
   * Updates the replica's weight version from an event, which may precede its announcement. Versions that
   * have not been published are ignored as faulty.
   */
  private updateVersion(state: ReplicaState, version: number): void {
    const { model } = this.job.specification;
    if (version <= this.services.versions.newestOf(model))
      this.services.directory.recordVersion(state, model, version);
  }

  private hasRequiredVersion(candidate: ReplicaState): boolean {
    const { model, minVersion } = this.job.specification;
    return model === '' || candidate.versionOf(model) >= minVersion;
  }

  /**
   * Why the sample should move to a faster replica with a suitable version; `undefined` if it should stay.
   */
  private reasonToMove(route: Route, state: ReplicaState, { eventMs }: AttemptPace): string | undefined {
    if (!this.movePolicy.canMove) return undefined;
    const [version] = route.isSingleVersion ? this.text.versions : [];
    const target = this.services.placement.findMoveTarget({
      service: state.replica.service,
      slots: (candidate) => this.slotsOf(candidate),
      accepts: (candidate) =>
        candidate !== state &&
        this.hasRequiredVersion(candidate) &&
        (version === undefined || candidate.versionOf(this.job.specification.model) === version),
    });
    if (!target) return undefined;
    const remaining = this.services.lengths.remainingEvents(this.item, this.text.eventCount);
    if (!MovePolicy.isWorthwhile(eventMs, target, remaining)) return undefined;
    const speeds = `${Math.round(eventMs)} ms per event here, ${Math.round(target.eventMs)} ms elsewhere`;
    return `${speeds}, about ${Math.round(remaining)} events left`;
  }

  private slotsOf(state: ReplicaState): number {
    return this.services.routing.current?.slotsOf(state.replica) ?? state.replica.slots;
  }

  /**
   * The item is reported for the sake of lookups that ran at the same replica: they are not the only suspects.
   * After events it is none, since the next attempt continues after them.
   */
  private recordCrash({ state, outcome, events, hasCrashed }: EndedAttempt): void {
    const { quarantine } = this.services;
    const isCrash = hasCrashed === true && !state.isLeaving;
    this.pauseMs = this.crashBackoff.recordAttempt(isCrash, events > 0);
    if (isCrash && events === 0) quarantine.reportCrash(this.identity, state.replica);
    if (outcome.kind === 'whole') quarantine.reportServed(this.identity);
  }

  private updateReplica({ state, outcome, events }: EndedAttempt): void {
    const feedback = replicaFeedback(outcome);
    if (feedback === 'served') state.recordFinished();
    else if (feedback === 'busy') state.backOff(INITIAL_DECLINE_BACKOFF_MS);
    else if (feedback === 'faulty') state.recordFailure();
    if (outcome.kind === 'moved') this.movePolicy.recordMove(state);
    if (outcome.kind === 'version-mismatch') this.textVersion.recordMismatch(state);
    if (events > 0) this.textVersion.recordProgress();
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
