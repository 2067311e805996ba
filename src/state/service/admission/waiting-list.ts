/**
 * Requests that wait for a place at a replica, and which of them goes next. It answers overload: the more urgent rank first; within
 * it those that can still be answered in time before those that no longer can; among these whoever has lately used least of the
 * replicas' time; then the one whose time is over soonest. A part of the places goes to those that have waited longest, so that
 * nobody is starved.
 *
 * Pure decisions: the time is passed in.
 */
import type { FlowUsage } from './flow-usage.js';

/** What the order looks at. Times are on the monotonic clock, milliseconds. */
export interface Waiting {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Who is charged for the use: a tenant, or a caller. */
  readonly flow: string;
  /** Whether it is work in the background, which waits for others but is given a part of the places. */
  readonly isBackground: boolean;
  /** When it came, or came first if it was refused before. */
  readonly sinceMs: number;
  /** When its caller wants the answer. */
  readonly targetAtMs: number;
  /** When its caller gives up. */
  readonly deadlineMs: number;
  /** Usual time of such a request once it runs. */
  readonly serviceTimeMs: number;
  readonly bytes: number;
}

/** How much may wait. */
export interface WaitingBounds {
  readonly count: number;
  readonly bytes: number;
}

/**
 * Every so many-th place goes to the longest waiting of a less urgent rank. A more urgent rank is to get at least 95 of 100
 * places that it can use.
 */
const OTHER_PRIORITY_TURN = 25;
/** Every so many-th place goes to the longest waiting work in the background, if there is any. */
const BACKGROUND_TURN = 4;

/** Requests that wait, of one service. */
export class WaitingList<W extends Waiting> {
  private readonly waiting = new Set<W>();
  private bytes = 0;
  private turns = 0;

  constructor(
    private readonly use: FlowUsage,
    private readonly bounds: WaitingBounds,
  ) {}

  get size(): number {
    return this.waiting.size;
  }

  [Symbol.iterator](): IterableIterator<W> {
    return this.waiting.values();
  }

  has(one: W): boolean {
    return this.waiting.has(one);
  }

  /** Adds a request. Returns who has to go for it since no more may wait: the last in the order, which may be itself. */
  add(one: W, nowMs: number): W | undefined {
    this.waiting.add(one);
    this.bytes += one.bytes;
    if (this.waiting.size <= this.bounds.count && this.bytes <= this.bounds.bytes) return undefined;
    const last = this.last(nowMs);
    if (last) this.remove(last);
    return last;
  }

  /** Takes a request out; false when it does not wait. */
  remove(one: W): boolean {
    if (!this.waiting.delete(one)) return false;
    this.bytes -= one.bytes;
    return true;
  }

  /** Who is to have the next place. Looking does not take it: `noteServed` moves the turns on. */
  next(nowMs: number, isFit: (one: W) => boolean = () => true): W | undefined {
    const first = this.best(nowMs, isFit);
    if (!first) return undefined;
    const turn = this.turns + 1;
    if (turn % OTHER_PRIORITY_TURN === 0)
      return this.longestWaiting((one) => one.priority !== first.priority && isFit(one)) ?? first;
    if (turn % BACKGROUND_TURN === 0)
      return (
        this.longestWaiting((one) => one.isBackground && one.priority === first.priority && isFit(one)) ??
        first
      );
    return first;
  }

  /** A place was given to one of the waiting. */
  noteServed(): void {
    this.turns += 1;
  }

  /** Usual time of all that would go before a request that came now, milliseconds. */
  queuedAheadMs(one: W, nowMs: number): number {
    let workMs = 0;
    for (const other of this.waiting)
      if (other !== one && this.compare(other, one, nowMs) <= 0) workMs += other.serviceTimeMs;
    return workMs;
  }

  /** Usual time of all that wait, milliseconds. */
  get queuedMs(): number {
    let workMs = 0;
    for (const one of this.waiting) workMs += one.serviceTimeMs;
    return workMs;
  }

  private best(nowMs: number, isFit: (one: W) => boolean): W | undefined {
    let best: W | undefined;
    for (const one of this.waiting)
      if (isFit(one) && (!best || this.compare(one, best, nowMs) < 0)) best = one;
    return best;
  }

  private last(nowMs: number): W | undefined {
    let last: W | undefined;
    for (const one of this.waiting) if (!last || this.compare(one, last, nowMs) > 0) last = one;
    return last;
  }

  private longestWaiting(isFit: (one: W) => boolean): W | undefined {
    let longest: W | undefined;
    for (const one of this.waiting)
      if (isFit(one) && (!longest || one.sinceMs < longest.sinceMs)) longest = one;
    return longest;
  }

  private compare(left: W, right: W, nowMs: number): number {
    return (
      left.priority - right.priority ||
      Number(isLate(left, nowMs)) - Number(isLate(right, nowMs)) ||
      Number(left.isBackground) - Number(right.isBackground) ||
      this.use.of(left.flow, nowMs) - this.use.of(right.flow, nowMs) ||
      left.deadlineMs - right.deadlineMs
    );
  }
}

/** Whether a request can no longer be answered when its caller wants it, even if it ran now. */
function isLate({ targetAtMs, serviceTimeMs }: Waiting, nowMs: number): boolean {
  return nowMs + serviceTimeMs > targetAtMs;
}
