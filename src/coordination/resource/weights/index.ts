export { EngineMonitor } from './engine-monitor.js';
export { isApproved, newestPublished, targetVersion } from './version-policy.js';
export { isAssigned, shouldDrain, WeightRollout, type WeightRolloutParts } from './weight-rollout.js';
