/** Decides when a sample moves to a faster replica. That one reads prompt and text, and continues. */
import { monotonicMs } from '../../../common/clock.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import type { MoveTarget } from './placement.js';

/** Most moves of one sample. Chosen: after two, samples stayed at slow replicas while fast ones were full. */
const MAX_MOVES = 5;
/** Least ratio of event times for a move. Chosen, not measured: less would not pay. */
const MIN_SPEEDUP = 1.2;
/** Least saving of a move, milliseconds: the prompt is read again. Chosen, not measured. */
const MOVE_COST_MS = 300;
/** Further saving required without a free slot, ms: the wait for the next one. Chosen, not measured. */
const SLOT_WAIT_MS = 700;

/** The moves of one sample. */
export class MovePolicy {
  private count = 0;
  private lastSource: ReplicaState | undefined;
  private lastMovedAtMs = 0;

  /** The sample was broken off at `state`, to continue at a faster replica. */
  recordMove(state: ReplicaState): void {
    this.count += 1;
    this.lastSource = state;
    this.lastMovedAtMs = monotonicMs();
  }

  /** Whether the sample left this replica within `SLOT_WAIT_MS`: it does not return at once. */
  hasRecentlyLeft(state: ReplicaState): boolean {
    return this.lastSource === state && monotonicMs() - this.lastMovedAtMs < SLOT_WAIT_MS;
  }

  /** Whether another move is allowed. */
  get canMove(): boolean {
    return this.count < MAX_MOVES;
  }

  /**
   * Whether `elsewhere` would finish the sample sooner by more than the cost of the move and of the wait for
   * a slot. `eventMs` is the time of an event where the sample runs, milliseconds; `remainingEvents` are the
   * events it still needs.
   */
  static isWorthwhile(eventMs: number, elsewhere: MoveTarget, remainingEvents: number): boolean {
    if (eventMs < elsewhere.eventMs * MIN_SPEEDUP) return false;
    const costMs = elsewhere.hasFreeSlot ? MOVE_COST_MS : MOVE_COST_MS + SLOT_WAIT_MS;
    return remainingEvents * (eventMs - elsewhere.eventMs) > costMs;
  }
}
