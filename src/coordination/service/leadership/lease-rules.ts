/** Rules of leader leases: acquisition, validity of confirmations, and the handover guard. */
import type { OwnerReference } from '../../../state/service/jobs/index.js';
import type { LeaseContent } from './lease-record.js';
import { ANY_TARGET, type RecentAction } from './recent-actions.js';

/**
 * A confirmation is valid for `VALIDITY_FACTOR` response times of the store, within these bounds. A shorter
 * validity would expire before a slow store responds; a longer one delays a successor.
 */
const MIN_VALIDITY_MS = 250;
const MAX_VALIDITY_MS = 3_000;
const VALIDITY_FACTOR = 4;
const HANDOVER_GUARD_MARGIN_MS = 250;

/** Validity of a confirmation, given the typical response time of the store. */
export function confirmationValidityMs(answerMs: number): number {
  return Math.min(MAX_VALIDITY_MS, Math.max(MIN_VALIDITY_MS, Math.round(answerMs * VALIDITY_FACTOR)));
}

/**
 * Reason for which `self` may acquire the lease of `holder`; `undefined` if it may not. A process on the same
 * machine may acquire it immediately, since its predecessor has ended.
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

/** Whether the record shows that `self` no longer holds the lease with `heldEpoch`. */
export function isTakenOver(
  { holder, epoch }: LeaseContent,
  self: OwnerReference,
  heldEpoch: number,
): boolean {
  return holder.life !== self.life || epoch !== heldEpoch;
}

/**
 * Actions that are still within the handover guard. A record of version 0.1.0 lists none, so its holder is
 * assumed to have acted on any target until now.
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
