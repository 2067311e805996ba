/**
 * Places generation requests on model replicas: each replica gets as many at once as its engine runs. Requests that
 * find no room wait in order; interrupted ones go before new ones.
 */
import type { ReplicaDirectory, ReplicaState } from '../../../state/service/replicas/index.js';

/** How often waiting requests are looked at again without a reason, milliseconds: suspicions end in silence. */
const RECHECK_MS = 50;

/** What a full replica, and one in another zone, cost, milliseconds. */
const FULL_REPLICA_MS = 1_000;
const OTHER_ZONE_MS = 50;
/** Part by which a request takes longer at a full replica. */
const FULL_REPLICA_SLOWDOWN = 0.1;
/** What a replica costs that has declined the last request: it is asked again when the others are full. */
const DECLINED_COST_MS = 3_000;

/** What a request asks of a replica. */
export interface PlacementRequest {
  /** Service at this moment; `undefined` while the route is unknown. */
  readonly service: () => string | undefined;
  /** Requests that one replica of the service runs at once. */
  readonly slots: (state: ReplicaState) => number;
  readonly accepts: (state: ReplicaState) => boolean;
  /** Replica that is likely to have read the prompt. */
  readonly preferred: () => ReplicaState | undefined;
  /** Events that the request will probably take. */
  readonly expectedEvents: number;
  /** Lower ranks are placed first. */
  readonly priority: number;
  readonly signal: AbortSignal;
}

/** A replica as a move sees it. */
export interface FastestReplica {
  /** Measured time of an event, milliseconds. */
  readonly eventMs: number;
  readonly hasFreeSlot: boolean;
}

/** What a request that runs already asks of other replicas. */
export type SlotQuery = Pick<PlacementRequest, 'slots' | 'accepts'> & { readonly service: string };

interface Waiter {
  readonly request: PlacementRequest;
  readonly resolve: (state: ReplicaState | undefined) => void;
}

/** All waiting requests of a node. */
export class Placement {
  private waiters: Waiter[] = [];
  private timer: NodeJS.Timeout | undefined;
  private isScheduled = false;

  /** `coldPerSecond`: requests that a cold replica is to get in a second from this node; `undefined` where it bears all. */
  constructor(
    private readonly directory: ReplicaDirectory,
    private readonly zone: string,
    private readonly slowStartPerSecond: (state: ReplicaState) => number | undefined = () => undefined,
  ) {
    directory.onChange(() => this.schedule());
  }

  /** Requests that wait for room. */
  get waitingCount(): number {
    return this.waiters.length;
  }

  /** Resolves to a replica whose slot is now taken, or to `undefined` when the request was aborted. */
  acquire(request: PlacementRequest): Promise<ReplicaState | undefined> {
    if (request.signal.aborted) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const onAbort = () => this.cancel(waiter);
      const waiter: Waiter = {
        request,
        resolve: (state) => {
          request.signal.removeEventListener('abort', onAbort);
          resolve(state);
        },
      };
      request.signal.addEventListener('abort', onAbort, { once: true });
      this.insert(waiter);
      this.schedule();
    });
  }

  /** A replica has taken a request: looks at the waiting requests again. */
  noteTaken(state: ReplicaState): void {
    state.noteAnswered();
    state.noteTaken();
    this.schedule();
  }

  /** The fastest replica as measured; one with a free slot if there is any, and none waits for it. */
  fastest({ service, slots, accepts }: SlotQuery): FastestReplica | undefined {
    const measured = this.directory
      .availableOf(service)
      .filter((state) => !state.isUnhealthy && state.admitsMore && state.averageMs > 0 && accepts(state));
    const free = this.waiters.length > 0 ? [] : measured.filter((state) => state.inFlight < slots(state));
    const candidates = free.length > 0 ? free : measured;
    if (candidates.length === 0) return undefined;
    const eventMs = Math.min(...candidates.map((state) => state.averageMs));
    return { eventMs, hasFreeSlot: free.length > 0 };
  }

  /** Gives a slot back; `wasTaken` says whether the replica had taken the request. */
  release(state: ReplicaState, wasTaken: boolean): void {
    state.inFlight -= 1;
    if (!wasTaken) state.noteAnswered();
    this.schedule();
  }

  private insert(waiter: Waiter): void {
    const at = this.waiters.findIndex((other) => other.request.priority > waiter.request.priority);
    if (at < 0) this.waiters.push(waiter);
    else this.waiters.splice(at, 0, waiter);
  }

  private cancel(waiter: Waiter): void {
    const at = this.waiters.indexOf(waiter);
    if (at < 0) return;
    this.waiters.splice(at, 1);
    waiter.resolve(undefined);
  }

  /** Looks at the waiting requests once in this turn of the event loop. */
  private schedule(): void {
    if (this.isScheduled || this.waiters.length === 0) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.assignWaiting();
    });
  }

  private assignWaiting(): void {
    const still: Waiter[] = [];
    for (const waiter of this.waiters) {
      const state = this.choose(waiter.request);
      if (!state) {
        still.push(waiter);
        continue;
      }
      state.inFlight += 1;
      state.noteSent();
      waiter.resolve(state);
    }
    this.waiters = still;
    this.armTimer();
  }

  /** The fittest replica; none while it has still to answer others, and the request should wait for that. */
  private choose(request: PlacementRequest): ReplicaState | undefined {
    const service = request.service();
    if (service === undefined) return undefined;
    const fittest = this.directory.select({
      service,
      zone: this.zone,
      preferred: request.preferred(),
      accepts: (state) =>
        state.admitsMore &&
        state.inFlight < request.slots(state) &&
        this.allowsInSlowStart(state) &&
        request.accepts(state),
      cost: (state, zone, fastestMs) => generationCost(state, zone, fastestMs, request.expectedEvents),
    });
    return fittest?.isAwaitingAnswers ? undefined : fittest;
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
    }, RECHECK_MS);
  }
}

/**
 * Expected time of the request at a replica, milliseconds, and what it costs the others there: the longer a request, the
 * more the replica's speed counts; the shorter, the more its load.
 */
function generationCost(
  state: ReplicaState,
  zone: string,
  fastestMs: number,
  expectedEvents: number,
): number {
  const usualMs = Number.isFinite(fastestMs) ? fastestMs : 0;
  const runMs = (state.averageMs || usualMs) * expectedEvents;
  const load = state.inFlight / Math.max(1, state.replica.slots);
  const loadMs = load * (FULL_REPLICA_MS + runMs * FULL_REPLICA_SLOWDOWN);
  const distanceMs = state.replica.zone === zone ? 0 : OTHER_ZONE_MS;
  const declinedMs = state.hasDeclined ? DECLINED_COST_MS : 0;
  return runMs + loadMs + distanceMs + declinedMs + Math.random() * 1e-6;
}
