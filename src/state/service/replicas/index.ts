export { CRASH_EXPIRY_MS, type Crash, CrashHistory, type Verdict } from './crash-history.js';
export {
  CRASH_PARTITION,
  parseCrashReport,
  timeOf,
  toCrashRecord,
  toServedRecord,
} from './crash-record.js';
export { type DispatcherSelection, type FleetMember, selectDispatchers } from './dispatcher-selection.js';
export { type Choice, type ChoiceInput, capacityOf, chooseReplica, drainRate } from './replica-choice.js';
export { ReplicaDirectory } from './replica-directory.js';
export type { IncarnationOrder } from './replica-incarnation.js';
export { ReplicaState } from './replica-state.js';
export { ServiceTimes } from './service-times.js';
export { WeightVersions } from './weight-versions.js';
