/**
 * Decides when a running sample moves to a faster replica. The new replica processes the prompt and the text
 * so far, and continues after the last event.
 */
import { monotonicMs } from '../../../common/clock.js';
import type { ReplicaState } from '../../../state/service/replicas/index.js';
import type { MoveTarget } from './placement.js';

const MAX_MOVES = 5;
/**
 * Minimum ratio of the event intervals of the current and the new replica; a smaller gain is not worth a
 * move.
 */
const MIN_SPEEDUP = 1.2;
/** Minimum time saved by a move: the prompt is processed again. */
const MOVE_COST_MS = 300;
/** Expected wait for a slot at a replica without a free one. */
const SLOT_WAIT_MS = 700;

/** Moves of one sample. */
export class MovePolicy {
  private count = 0;
  private lastSource: ReplicaState | undefined;
  private lastMovedAtMs = 0;

  /** Records that the sample was aborted at `state`, to continue at a faster replica. */
  recordMove(state: ReplicaState): void {
    this.count += 1;
    this.lastSource = state;
    this.lastMovedAtMs = monotonicMs();
  }

  /** Whether the sample left this replica within `SLOT_WAIT_MS`; prevents an immediate return. */
  hasRecentlyLeft(state: ReplicaState): boolean {
    return this.lastSource === state && monotonicMs() - this.lastMovedAtMs < SLOT_WAIT_MS;
  }

  get canMove(): boolean {
    return this.count < MAX_MOVES;
  }

  /**
   * Whether `target` would finish the sample sooner by more than the cost of the move and of the wait for a
   * slot. `eventMs` is the mean event interval at the current replica, milliseconds.
   */
  static isWorthwhile(eventMs: number, target: MoveTarget, remainingEvents: number): boolean {
    if (eventMs < target.eventMs * MIN_SPEEDUP) return false;
    const costMs = target.hasFreeSlot ? MOVE_COST_MS : MOVE_COST_MS + SLOT_WAIT_MS;
    return remainingEvents * (eventMs - target.eventMs) > costMs;
  }
}
