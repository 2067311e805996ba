export { AdmissionLimits } from './admission-limits.js';
export { BackendEntry, BackendRegistry } from './backend-registry.js';
export { partitionOf, rankByRendezvous } from './rendezvous.js';
