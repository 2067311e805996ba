/**
 * Places generation requests on model replicas: each replica gets as many at once as its engine runs. Requests that
 * find no room wait in order; interrupted ones go before new ones.
 */
import type { ReplicaDirectory, ReplicaState } from '../state/replica-directory.js';

/** How often waiting requests are looked at again without a reason, milliseconds: suspicions end in silence. */
const RECHECK_MS = 50;

/** What a request asks of a replica. */
export interface PlacementRequest {
  /** Service at this moment; `undefined` while the route is unknown. */
  readonly service: () => string | undefined;
  /** Requests that one replica of the service runs at once. */
  readonly slots: (state: ReplicaState) => number;
  readonly accepts: (state: ReplicaState) => boolean;
  /** Replica that is likely to have read the prompt. */
  readonly preferredId: () => string | undefined;
  /** Lower ranks are placed first. */
  readonly rank: number;
  readonly signal: AbortSignal;
}

interface Waiter {
  readonly request: PlacementRequest;
  readonly resolve: (state: ReplicaState | undefined) => void;
}

/** All waiting requests of a node. */
export class Placement {
  private waiters: Waiter[] = [];
  private timer: NodeJS.Timeout | undefined;
  private isScheduled = false;

  constructor(
    private readonly directory: ReplicaDirectory,
    private readonly zone: string,
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
      const onAbort = () => this.giveUp(waiter);
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

  /** Looks at the waiting requests again: a replica has taken a request. */
  noteTaken(state: ReplicaState): void {
    state.noteTaken();
    this.schedule();
  }

  /** Gives a slot back. */
  release(state: ReplicaState): void {
    state.inFlight -= 1;
    state.noteUntold();
    this.schedule();
  }

  private insert(waiter: Waiter): void {
    const at = this.waiters.findIndex((other) => other.request.rank > waiter.request.rank);
    if (at < 0) this.waiters.push(waiter);
    else this.waiters.splice(at, 0, waiter);
  }

  private giveUp(waiter: Waiter): void {
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
      this.placeWaiting();
    });
  }

  private placeWaiting(): void {
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

  private choose(request: PlacementRequest): ReplicaState | undefined {
    const service = request.service();
    if (service === undefined) return undefined;
    return this.directory.select({
      service,
      zone: this.zone,
      preferredId: request.preferredId(),
      allowsSuspected: false,
      accepts: (state) => state.admitsMore && state.inFlight < request.slots(state) && request.accepts(state),
    });
  }

  private armTimer(): void {
    if (this.timer || this.waiters.length === 0) return;
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.schedule();
    }, RECHECK_MS);
  }
}
