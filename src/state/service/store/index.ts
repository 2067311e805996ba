export { FOLLOWED_TABLE } from './followed-table.js';
export { InstrumentedStore } from './instrumented-store.js';
export { readRange } from './read-range.js';
export { ConflictError, settle } from './settled-transaction.js';
