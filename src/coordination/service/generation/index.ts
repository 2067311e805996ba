export { attemptGeneration } from './generation-attempt.js';
export type { AttemptPace, GenerationOptions, GenerationOutcome } from './generation-terms.js';
export { Placement, type PlacementRequest } from './placement.js';
export { isRouteRemoved } from './route-loss.js';
export { LengthEstimator } from './sample-lengths.js';
export { MovePolicy } from './sample-moves.js';
export { SampleScorer } from './sample-scorer.js';
export { SampleText } from './sample-text.js';
