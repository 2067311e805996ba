export { AccessControl, type Principal } from './access-control.js';
export {
  type CommitOutcome,
  ConfigStore,
  publishedKey,
  publishedVersion,
  sameDeclaration,
  type WantedChange,
} from './config-store.js';
export { ConfigView } from './config-view.js';
export { FreshnessLease } from './freshness-lease.js';
