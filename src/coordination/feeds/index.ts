export { applyEach } from './apply-each.js';
export {
  type FeedHandler,
  type FeedObserver,
  LONG_POLL_TIMEOUT_MS,
  RecordFeed,
  readPartition,
} from './record-feed.js';
export { SharedTable } from './shared-table.js';
