/**
 * Places generation requests on model replicas: each request gets a slot at the cheapest eligible replica
 * (`placement-cost.ts`); requests without a slot wait in order of priority.
 *
 * Samples run for seconds and differ in length, so the speed of a replica matters more than its load, unlike
 * for single requests (`replica-choice.ts`). Each job owner places independently; replicas decline requests
 * beyond their slots.
 */
import type { ReplicaDirectory, ReplicaState } from '../../../state/service/replicas/index.js';
import { placementCostMs } from './placement-cost.js';

/** Waiting requests are rechecked at this interval, since the end of an ejection raises no event. */
const RECHECK_INTERVAL_MS = 50;
/** Upper bound of the random cost that breaks ties. */
const TIE_BREAK_MS = 1e-6;

export interface PlacementRequest {
  /** Service to place the request at; `undefined` while its route is missing. */
  readonly service: () => string | undefined;
  /** Number of requests that the replica can run concurrently. */
  readonly slots: (state: ReplicaState) => number;
  /** Whether the replica is eligible. */
  readonly accepts: (state: ReplicaState) => boolean;
  /** Replicas that the request is restricted to as long as the service has any of them, even if full or ejected. */
  readonly restrictTo?: (state: ReplicaState) => boolean;
  /** Replica that likely has the prompt in its prefix cache. */
  readonly preferred: () => ReplicaState | undefined;
  /** Expected number of events still to be generated. */
  readonly expectedEvents: number;
  /** Lower values are placed first. */
  readonly priority: number;
  readonly signal: AbortSignal;
}

/** The fastest replica that a running sample could move to. */
export interface MoveTarget {
  /** Mean event interval, milliseconds. */
  readonly eventMs: number;
  readonly hasFreeSlot: boolean;
}

/** Which replicas a running sample may move to. */
export type MoveTargetQuery = Pick<PlacementRequest, 'slots' | 'accepts'> & { readonly service: string };

interface WaitingRequest {
  readonly request: PlacementRequest;
  readonly resolve: (state: ReplicaState | undefined) => void;
}

/** Queue of this node's requests that wait for a slot, and the count of slots in use. */
export class Placement {
  private waiters: WaitingRequest[] = [];
  private timer: NodeJS.Timeout | undefined;
  private isScheduled = false;

  /** `slowStartPerSecond`: request rate limit of a replica in slow start; `undefined`: no limit. */
  constructor(
    private readonly directory: ReplicaDirectory,
    private readonly zone: string,
    private readonly slowStartPerSecond: (state: ReplicaState) => number | undefined = () => undefined,
  ) {
    directory.onChange(() => this.schedule());
  }

  get waitingCount(): number {
    return this.waiters.length;
  }

  /** Reserves a slot. Resolves to its replica, or to `undefined` when the request is aborted. */
  acquire(request: PlacementRequest): Promise<ReplicaState | undefined> {
    if (request.signal.aborted) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const onAbort = () => this.cancel(waiter);
      const waiter: WaitingRequest = {
        request,
        resolve: (state) => {
          request.signal.removeEventListener('abort', onAbort);
          resolve(state);
        },
      };
      request.signal.addEventListener('abort', onAbort, { once: true });
      this.enqueue(waiter);
      this.schedule();
    });
  }

  /** Records that a replica accepted a request, so that it may be sent more. */
  markAccepted(state: ReplicaState): void {
    state.recordGenerationSettled();
    state.recordAccepted();
    this.schedule();
  }

  /**
   * Fastest eligible replica by measured speed; only replicas with a free slot are considered when there are
   * any and no request is waiting.
   */
  findMoveTarget({ service, slots, accepts }: MoveTargetQuery): MoveTarget | undefined {
    const measured = this.directory
      .availableOf(service)
      .filter(
        (state) => !state.isUnhealthy && state.allowsGeneration && state.averageMs > 0 && accepts(state),
      );
    const free = this.waiters.length > 0 ? [] : measured.filter((state) => state.inFlight < slots(state));
    const candidates = free.length > 0 ? free : measured;
    if (candidates.length === 0) return undefined;
    const eventMs = Math.min(...candidates.map((state) => state.averageMs));
    return { eventMs, hasFreeSlot: free.length > 0 };
  }

  /** Releases a slot. `wasAccepted`: whether the replica had accepted the request. */
  release(state: ReplicaState, wasAccepted: boolean): void {
    state.inFlight -= 1;
    if (!wasAccepted) state.recordGenerationSettled();
    this.schedule();
  }

  private enqueue(waiter: WaitingRequest): void {
    const index = this.waiters.findIndex((other) => other.request.priority > waiter.request.priority);
    if (index < 0) this.waiters.push(waiter);
    else this.waiters.splice(index, 0, waiter);
  }

  private cancel(waiter: WaitingRequest): void {
    const index = this.waiters.indexOf(waiter);
    if (index < 0) return;
    this.waiters.splice(index, 1);
    waiter.resolve(undefined);
  }

  /** Assigns slots to waiting requests, once per turn of the event loop. */
  private schedule(): void {
    if (this.isScheduled || this.waiters.length === 0) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.assignReplicas();
    });
  }

  private assignReplicas(): void {
    const stillWaiting: WaitingRequest[] = [];
    for (const waiter of this.waiters) {
      const state = this.selectReplica(waiter.request);
      if (!state) {
        stillWaiting.push(waiter);
        continue;
      }
      state.inFlight += 1;
      state.recordGenerationSent();
      waiter.resolve(state);
    }
    this.waiters = stillWaiting;
    this.armTimer();
  }

  /** Returns the cheapest replica, or `undefined` while that one has yet to answer earlier requests. */
  private selectReplica(request: PlacementRequest): ReplicaState | undefined {
    const service = request.service();
    if (service === undefined) return undefined;
    const isInRestriction = this.restrictionOf(request, service);
    const cheapest = this.directory.selectForGeneration({
      service,
      zone: this.zone,
      preferred: request.preferred(),
      accepts: (state) =>
        isInRestriction(state) &&
        state.allowsGeneration &&
        state.inFlight < request.slots(state) &&
        this.allowsInSlowStart(state) &&
        request.accepts(state),
      cost: (state, zone, fastestMs) => this.cost(state, zone, fastestMs, request.expectedEvents),
    });
    return cheapest?.isAwaitingAnswers ? undefined : cheapest;
  }

  private restrictionOf({ restrictTo }: PlacementRequest, service: string): (state: ReplicaState) => boolean {
    const isRestricted = restrictTo !== undefined && this.directory.availableOf(service).some(restrictTo);
    return isRestricted ? restrictTo : () => true;
  }

  private cost(state: ReplicaState, zone: string, fastestMs: number, expectedEvents: number): number {
    const { averageMs, inFlight, hasDeclined, replica } = state;
    const isOtherZone = replica.zone !== zone;
    const { slots } = replica;
    const input = { averageMs, fastestMs, expectedEvents, inFlight, slots, isOtherZone, hasDeclined };
    return placementCostMs(input) + Math.random() * TIE_BREAK_MS;
  }

  private allowsInSlowStart(state: ReplicaState): boolean {
    const perSecond = this.slowStartPerSecond(state);
    return perSecond === undefined || state.allowsInSlowStart(perSecond);
  }

  private armTimer(): void {
    if (this.timer || this.waiters.length === 0) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.schedule();
    }, RECHECK_INTERVAL_MS);
  }
}
