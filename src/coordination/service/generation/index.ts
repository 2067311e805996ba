export { attemptGeneration } from './generation-attempt.js';
export type { AttemptPace, GenerationOutcome, GenerationTerms } from './generation-terms.js';
export { Placement, type PlacementRequest } from './placement.js';
export { isRouteGone } from './route-loss.js';
export { SampleLengths } from './sample-lengths.js';
export { SampleMoves } from './sample-moves.js';
export { SampleScorer } from './sample-scorer.js';
export { SampleText } from './sample-text.js';
