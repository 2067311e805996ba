export {
  CRASH_EXPIRY_MS,
  type Crash,
  CrashHistory,
  type QuarantineVerdict,
  toJobWorkDigest,
} from './crash-history.js';
export {
  CRASH_PARTITION,
  parseCrashReport,
  reportTimeMs,
  toAnswerRecord,
  toCrashRecord,
} from './crash-record.js';
export { type DispatcherSelection, type FleetMember, selectDispatchers } from './dispatcher-selection.js';
export {
  capacityOf,
  chooseReplica,
  drainRate,
  type ReplicaChoice,
  type ReplicaChoiceInput,
} from './replica-choice.js';
export { ReplicaDirectory } from './replica-directory.js';
export type { IncarnationOrder } from './replica-incarnation.js';
export { ReplicaState } from './replica-state.js';
export { ServiceTimes } from './service-times.js';
export { WeightVersions } from './weight-versions.js';
