/**
 * Places generation requests on model replicas: each replica gets as many at once as its engine has slots,
 * the cheapest by `placement-cost.ts` first. Requests without a slot wait, interrupted ones before new ones.
 *
 * Unlike single requests, whose dispatcher chooses by load and latency ratio (`replica-choice.ts`), samples
 * run for seconds at a length that differs by sample, and the speed of a replica decides more than its load.
 * Each owner of a job places for itself: replicas decline what exceeds their slots.
 */
import type { ReplicaDirectory, ReplicaState } from '../../../state/service/replicas/index.js';
import { placementCostMs } from './placement-cost.js';

/**
 * Interval of rescheduling without an event, milliseconds: ejections end without one. Chosen, not measured.
 */
const RECHECK_INTERVAL_MS = 50;
/** Breaks ties of cost at random; far below a millisecond. */
const TIE_BREAK_MS = 1e-6;

/** Requirements of a request. */
export interface PlacementRequest {
  /** Current service; `undefined` while the route is unknown. */
  readonly service: () => string | undefined;
  /** Requests that a replica runs at once. */
  readonly slots: (state: ReplicaState) => number;
  readonly accepts: (state: ReplicaState) => boolean;
  /** Replica that likely has the prompt in its cache. */
  readonly preferred: () => ReplicaState | undefined;
  /** Events that the request is expected to take. */
  readonly expectedEvents: number;
  /** Lower ones are placed first. */
  readonly priority: number;
  readonly signal: AbortSignal;
}

/** The replica that a running sample could move to. */
export interface MoveTarget {
  /** Measured time of an event, milliseconds. */
  readonly eventMs: number;
  readonly hasFreeSlot: boolean;
}

/** Requirements of a running sample for a move. */
export type MoveTargetQuery = Pick<PlacementRequest, 'slots' | 'accepts'> & { readonly service: string };

interface WaitingRequest {
  readonly request: PlacementRequest;
  readonly resolve: (state: ReplicaState | undefined) => void;
}

/** The waiting requests of a node, and the slots that it uses. */
export class Placement {
  private waiters: WaitingRequest[] = [];
  private timer: NodeJS.Timeout | undefined;
  private isScheduled = false;

  /** `slowStartPerSecond`: requests a second that a replica in slow start may get; `undefined`: no limit. */
  constructor(
    private readonly directory: ReplicaDirectory,
    private readonly zone: string,
    private readonly slowStartPerSecond: (state: ReplicaState) => number | undefined = () => undefined,
  ) {
    directory.onChange(() => this.schedule());
  }

  /** Requests that wait for a slot. */
  get waitingCount(): number {
    return this.waiters.length;
  }

  /** Resolves to a replica whose slot is now taken, or to `undefined` when the request was aborted. */
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

  /** A replica has accepted a request, and may get more. */
  markAccepted(state: ReplicaState): void {
    state.recordGenerationSettled();
    state.recordAccepted();
    this.schedule();
  }

  /** The fastest replica as measured: among those with a free slot, if any and no request waits, else all. */
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

  /** Releases a slot; `wasTaken` says whether the replica had accepted the request. */
  release(state: ReplicaState, wasTaken: boolean): void {
    state.inFlight -= 1;
    if (!wasTaken) state.recordGenerationSettled();
    this.schedule();
  }

  private enqueue(waiter: WaitingRequest): void {
    const at = this.waiters.findIndex((other) => other.request.priority > waiter.request.priority);
    if (at < 0) this.waiters.push(waiter);
    else this.waiters.splice(at, 0, waiter);
  }

  private cancel(waiter: WaitingRequest): void {
    const at = this.waiters.indexOf(waiter);
    if (at < 0) return;
    this.waiters.splice(at, 1);
    waiter.resolve(undefined);
  }

  /** Assigns slots to waiting requests, once in this turn of the event loop. */
  private schedule(): void {
    if (this.isScheduled || this.waiters.length === 0) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.assignReplicas();
    });
  }

  private assignReplicas(): void {
    const still: WaitingRequest[] = [];
    for (const waiter of this.waiters) {
      const state = this.selectReplica(waiter.request);
      if (!state) {
        still.push(waiter);
        continue;
      }
      state.inFlight += 1;
      state.recordGenerationSent();
      waiter.resolve(state);
    }
    this.waiters = still;
    this.armTimer();
  }

  /** The cheapest replica; none while that one must first accept or decline those it was sent. */
  private selectReplica(request: PlacementRequest): ReplicaState | undefined {
    const service = request.service();
    if (service === undefined) return undefined;
    const cheapest = this.directory.selectForGeneration({
      service,
      zone: this.zone,
      preferred: request.preferred(),
      accepts: (state) =>
        state.allowsGeneration &&
        state.inFlight < request.slots(state) &&
        this.allowsInSlowStart(state) &&
        request.accepts(state),
      cost: (state, zone, fastestMs) => this.cost(state, zone, fastestMs, request.expectedEvents),
    });
    return cheapest?.isAwaitingAnswers ? undefined : cheapest;
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
