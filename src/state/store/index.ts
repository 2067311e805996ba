export { type CurrentRecords, readCurrent } from './current-records.js';
export { FOLLOWED_TABLE } from './followed-table.js';
export { InstrumentedStore } from './instrumented-store.js';
export { readRange } from './read-range.js';
export {
  CONFIGURATION_TABLE,
  type Row,
  RowTable,
  scanAll,
  type Table,
  type Transaction,
} from './row-table.js';
export { ConflictError, settle } from './settled-transaction.js';
export { type Objects, StoredObjects } from './stored-objects.js';
