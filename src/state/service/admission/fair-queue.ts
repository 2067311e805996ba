/**
 * Bounded fair queue of one service. Requests are ordered by priority, then by whether they can still meet
 * their latency target, then interactive before background, then by the recent usage of their flow, then by
 * deadline. To prevent starvation, a fraction of the slots goes to the oldest request of other priorities and
 * to the oldest background request.
 */
import type { FlowUsage } from './flow-usage.js';

/** A queued request. Times are monotonic, in milliseconds. */
export interface QueuedRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Flow charged for the replica time: a tenant, or a caller. */
  readonly flow: string;
  /** Whether it yields to interactive requests of the same priority. */
  readonly isBackground: boolean;
  /** Time of arrival at this node. */
  readonly sinceMs: number;
  /** Time by which the answer should be sent. */
  readonly targetAtMs: number;
  /** Time after which the answer is useless. */
  readonly deadlineMs: number;
  /** Expected service time, a duration. */
  readonly serviceTimeMs: number;
  readonly bytes: number;
}

/** Limits of a queue: number of requests, and bytes of their bodies. */
export interface QueueLimits {
  readonly count: number;
  readonly bytes: number;
}

/** One in this many slots goes to the oldest request of another priority. */
const OTHER_PRIORITY_INTERVAL = 25;
/** One in this many slots goes to the oldest background request of the same priority. */
const BACKGROUND_INTERVAL = 4;

export class FairQueue<W extends QueuedRequest> {
  private readonly queued = new Set<W>();
  private bytes = 0;
  private slotsAssigned = 0;

  constructor(
    private readonly usage: FlowUsage,
    private readonly limits: QueueLimits,
  ) {}

  get size(): number {
    return this.queued.size;
  }

  [Symbol.iterator](): IterableIterator<W> {
    return this.queued.values();
  }

  /**
   * Adds a request. If a limit is exceeded, removes and returns the last request in order, which may be the
   * new one.
   */
  add(request: W, nowMs: number): W | undefined {
    this.queued.add(request);
    this.bytes += request.bytes;
    if (this.queued.size <= this.limits.count && this.bytes <= this.limits.bytes) return undefined;
    const last = this.first((left, right) => this.compare(right, left, nowMs));
    if (last) this.remove(last);
    return last;
  }

  /** Removes a request; returns false if it is not queued. */
  remove(request: W): boolean {
    if (!this.queued.delete(request)) return false;
    this.bytes -= request.bytes;
    return true;
  }

  /** The request to get the next slot. It stays queued; `recordSlotAssigned` advances the slot count. */
  next(nowMs: number, isEligible: (entry: W) => boolean = () => true): W | undefined {
    const first = this.first((left, right) => this.compare(left, right, nowMs), isEligible);
    if (!first) return undefined;
    const turn = this.slotsAssigned + 1;
    if (turn % OTHER_PRIORITY_INTERVAL === 0)
      return this.longestWaiting((entry) => entry.priority !== first.priority && isEligible(entry)) ?? first;
    if (turn % BACKGROUND_INTERVAL === 0)
      return (
        this.longestWaiting(
          (entry) => entry.isBackground && entry.priority === first.priority && isEligible(entry),
        ) ?? first
      );
    return first;
  }

  /** Counts an assigned slot, which determines whose turn the next one is. */
  recordSlotAssigned(): void {
    this.slotsAssigned += 1;
  }

  /** Expected service time of the requests ahead of `request`, milliseconds. */
  queuedAheadMs(request: W, nowMs: number): number {
    let workMs = 0;
    for (const other of this.queued)
      if (other !== request && this.compare(other, request, nowMs) <= 0) workMs += other.serviceTimeMs;
    return workMs;
  }

  /** Expected service time of all queued requests, milliseconds. */
  get queuedMs(): number {
    let workMs = 0;
    for (const request of this.queued) workMs += request.serviceTimeMs;
    return workMs;
  }

  private longestWaiting(isEligible: (request: W) => boolean): W | undefined {
    return this.first((left, right) => left.sinceMs - right.sinceMs, isEligible);
  }

  /** The first eligible request by `order`; ties go to the request that was added first. */
  private first(
    order: (left: W, right: W) => number,
    isEligible: (request: W) => boolean = () => true,
  ): W | undefined {
    let first: W | undefined;
    for (const request of this.queued)
      if (isEligible(request) && (!first || order(request, first) < 0)) first = request;
    return first;
  }

  private compare(left: W, right: W, nowMs: number): number {
    return (
      left.priority - right.priority ||
      Number(isLate(left, nowMs)) - Number(isLate(right, nowMs)) ||
      Number(left.isBackground) - Number(right.isBackground) ||
      this.usage.of(left.flow, nowMs) - this.usage.of(right.flow, nowMs) ||
      left.deadlineMs - right.deadlineMs
    );
  }
}

/** Whether a request would miss its latency target even if it were sent now. */
function isLate({ targetAtMs, serviceTimeMs }: QueuedRequest, nowMs: number): boolean {
  return nowMs + serviceTimeMs > targetAtMs;
}
