export { readCurrent } from './current-records.js';
export { readRange } from './read-range.js';
export { RecordFormat } from './record-format.js';
