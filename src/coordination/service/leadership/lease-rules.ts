/** Rules of leader leases: acquisition, validity of a confirmation, and the handover guard. */
import type { OwnerReference } from '../../../state/service/jobs/index.js';
import type { LeaseContent } from './lease-record.js';
import { ANY_TARGET, type RecentAction } from './recent-actions.js';

/**
 * Age that a confirmation may have when an action begins, milliseconds: `VALIDITY_ANSWERS` usual answers of
 * the store, within these bounds. Chosen, not measured. With less no confirmation of a slow store is fresh;
 * more delays a successor as long.
 */
const MIN_VALIDITY_MS = 250;
const MAX_VALIDITY_MS = 3_000;
const VALIDITY_FACTOR = 4;
/** Safety margin added to the handover guard, milliseconds. Chosen, not measured. */
const HANDOVER_GUARD_MARGIN_MS = 250;

/** Validity of a confirmation; `answerMs` is the usual time of an answer of the store. Milliseconds. */
export function confirmationValidityMs(answerMs: number): number {
  return Math.min(MAX_VALIDITY_MS, Math.max(MIN_VALIDITY_MS, Math.round(answerMs * VALIDITY_FACTOR)));
}

/**
 * Why `self` may acquire the lease of `holder`; `undefined` when it may not. A process on the holder's
 * machine is its successor. `isLost` is asked only about other
 * machines.
 */
export function acquisitionReason(
  holder: OwnerReference,
  self: OwnerReference,
  isLost: () => boolean,
): string | undefined {
  if (holder.node === '') return 'free';
  if (holder.node === self.node) return 'held by an earlier process of this node';
  return isLost() ? `${holder.node} is lost` : undefined;
}

/** Whether the record shows that `self` no longer leads with `heldEpoch`. */
export function isTakenOver(
  { holder, epoch }: LeaseContent,
  self: OwnerReference,
  heldEpoch: number,
): boolean {
  return holder.life !== self.life || epoch !== heldEpoch;
}

/**
 * Actions from which a leader on another machine must keep the handover guard. A record that names none is of
 * a node of version 0.1.0, which may have begun an action on any target until now.
 */
export function guardedActions(
  { recent, holder }: LeaseContent,
  storeTimeMs: number,
  handoverGuardMs: number,
): readonly RecentAction[] {
  const assumed = { target: ANY_TARGET, node: holder.node, begunByMs: storeTimeMs + MAX_VALIDITY_MS };
  const sinceMs = storeTimeMs - handoverGuardMs - HANDOVER_GUARD_MARGIN_MS;
  return (recent ?? [assumed]).filter((action) => action.begunByMs > sinceMs);
}
