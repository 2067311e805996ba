export { AdmissionLimits } from './admission-limits.js';
export { BackendEntry, BackendRegistry } from './backend-registry.js';
export { partitionOf, rankByRendezvous } from './rendezvous.js';
export { ReplicaDirectory, ReplicaState } from './replica-directory.js';
export { WeightVersions } from './weight-versions.js';
