export { attemptGeneration } from './generation-attempt.js';
export type { AttemptPace, GenerationOptions, GenerationOutcome } from './generation-options.js';
export { LengthEstimator } from './length-estimator.js';
export { MovePolicy } from './move-policy.js';
export { Placement, type PlacementRequest } from './placement.js';
export { SampleScorer } from './sample-scorer.js';
export { SampleText } from './sample-text.js';
