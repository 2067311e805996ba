export { readRange } from '../../store/index.js';
export { FOLLOWED_TABLE } from './followed-table.js';
export { InstrumentedStore } from './instrumented-store.js';
export { ConflictError, transactWithRetry } from './settled-transaction.js';
export {
  ignoreUnreadable,
  type ReportUnreadable,
  UnreadableRecords,
} from './unreadable-records.js';
