export { BatchLedger, type DrawOutcome } from './batch-ledger.js';
export { ClaimStore, type HeldClaim, type RecordedResponse } from './claim-store.js';
export type { DrawOptions } from './draw-rules.js';
export { formatSampleId, isWithinBound, oldestVersion, parseSampleId } from './ledger-rows.js';
export { type LoadedRollout, RolloutLedger, type SlotTask } from './rollout-ledger.js';
export { type CommitResult, type FinishedSample, SampleCommits } from './sample-commits.js';
