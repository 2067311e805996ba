export {
  CONFIGURATION_TABLE,
  type Row,
  RowTable,
  type StateResult,
  scanAll,
  type Table,
  type Transaction,
} from './row-table.js';
export { type Attempt, settle } from './settle.js';
export { type Objects, StoredObjects } from './stored-objects.js';
