export {
  FEED_WAIT_MS,
  type FeedHandler,
  type FeedObserver,
  RecordFeed,
  readPartition,
} from './record-feed.js';
export { SharedTable } from './shared-table.js';
