/**
 * Decides when a running sample moves to a faster replica. The other replica continues after the last event, so a move costs
 * little more than reading the prompt and the text again.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import type { FastestReplica } from './placement.js';

/** Most moves of one sample. Chosen: with two, samples were seen to stay at a slow replica while faster ones were full. */
const MAX_MOVES = 5;
/** Least ratio of event times that justifies a move. Chosen, not measured: above the scatter of a pace of six events. */
const MIN_SPEEDUP = 1.2;
/** Least saving of a move, milliseconds: the prompt is read again. Chosen, not measured. */
const MOVE_COST_MS = 300;
/** Further saving required when no slot is free, milliseconds: the wait for the next one. Chosen, not measured. */
const SLOT_WAIT_MS = 700;

/** The moves of one sample. */
export class SampleMoves {
  private count = 0;
  private lastLeft: ReplicaState | undefined;
  private lastLeftAtMs = 0;

  /** The sample was broken off at `state`, to continue at a faster replica. */
  note(state: ReplicaState): void {
    this.count += 1;
    this.lastLeft = state;
    this.lastLeftAtMs = monotonicMs();
  }

  /** Whether the sample left this replica within `SLOT_WAIT_MS`: it waits for another rather than return at once. */
  hasJustLeft(state: ReplicaState): boolean {
    return this.lastLeft === state && monotonicMs() - this.lastLeftAtMs < SLOT_WAIT_MS;
  }

  /** Whether another move is allowed. */
  get mayMove(): boolean {
    return this.count < MAX_MOVES;
  }

  /**
   * Whether `elsewhere` would finish the sample sooner by more than the cost of the move and of the wait for a slot.
   * `eventMs` is the time of an event where the sample runs, milliseconds; `remainingEvents` are the events it still needs.
   */
  static isWorthwhile(eventMs: number, elsewhere: FastestReplica, remainingEvents: number): boolean {
    if (eventMs < elsewhere.eventMs * MIN_SPEEDUP) return false;
    const costMs = elsewhere.hasFreeSlot ? MOVE_COST_MS : MOVE_COST_MS + SLOT_WAIT_MS;
    return remainingEvents * (eventMs - elsewhere.eventMs) > costMs;
  }
}
