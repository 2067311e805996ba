export {
  FATAL_RUN_PARTITION,
  type FatalRunReport,
  parseFatalRunReport,
  timeOf,
  toFatalRunRecord,
  toServedRecord,
} from './fatal-run-record.js';
export { FATAL_RUN_EXPIRY_MS, type FatalRun, FatalRuns, type Verdict } from './fatal-runs.js';
export { type Choice, type ChoiceTerms, capacityOf, chooseReplica, drainRate } from './replica-choice.js';
export { ReplicaDirectory } from './replica-directory.js';
export { type LifeOrder, orderOfLives, type ReplicaLife } from './replica-life.js';
export { ReplicaState } from './replica-state.js';
export { dispatcherCount, type FleetMember, homeOf, rankDispatchers } from './service-homes.js';
export { WeightVersions } from './weight-versions.js';
export { ServiceTimes } from './work-times.js';
