/**
 * Decides when a running sample goes on at another replica. The rest of a sample is made there from its last event, so a
 * move costs little more than reading the prompt and the text again.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import type { FastestReplica } from './placement.js';

/** Moves of one sample at most. */
const MAX_MOVES = 5;
/** A sample moves when its replica takes this many times as long for an event as another. */
const MIN_SPEEDUP = 1.2;
/** Time that a move must save, milliseconds: reading the prompt and the text so far, and a new connection. */
const MOVE_COST_MS = 300;
/** What it must save beyond that when no slot is free, milliseconds; an interrupted sample gets the next one. */
const SLOT_WAIT_MS = 700;

/** The moves of one sample. */
export class SampleMoves {
  private count = 0;
  private left: ReplicaState | undefined;
  private leftAtMs = 0;

  /** The sample has left `state` for a faster replica. */
  note(state: ReplicaState): void {
    this.count += 1;
    this.left = state;
    this.leftAtMs = monotonicMs();
  }

  /** Whether the sample has left this replica a moment ago: it waits for another rather than go back at once. */
  hasJustLeft(state: ReplicaState): boolean {
    return this.left === state && monotonicMs() - this.leftAtMs < SLOT_WAIT_MS;
  }

  /** Whether another move is allowed. */
  get areLeft(): boolean {
    return this.count < MAX_MOVES;
  }

  /**
   * Whether `elsewhere` would end the sample sooner by more than the move, and the wait for a slot, cost.
   * `eventMs` is the time of an event where the sample runs, `remainingEvents` what it lacks.
   */
  static isWorthwhile(eventMs: number, elsewhere: FastestReplica, remainingEvents: number): boolean {
    if (eventMs < elsewhere.eventMs * MIN_SPEEDUP) return false;
    const costMs = elsewhere.hasFreeSlot ? MOVE_COST_MS : MOVE_COST_MS + SLOT_WAIT_MS;
    return remainingEvents * (eventMs - elsewhere.eventMs) > costMs;
  }
}
