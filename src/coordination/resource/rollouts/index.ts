export { Delivery } from './delivery.js';
export { EventTranscript } from './event-transcript.js';
export { type GenerationRequest, Generator } from './generation.js';
export { RolloutOwner, type RolloutOwnerParts } from './rollout-owner.js';
