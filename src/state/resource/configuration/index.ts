export { AccessControl, type Principal } from './access-control.js';
export {
  type CommitOutcome,
  ConfigStore,
  type DesiredChange,
  publishedKey,
  publishedVersion,
  sameDeclaration,
} from './config-store.js';
export { ConfigView } from './config-view.js';
export { FreshnessLease } from './freshness-lease.js';
