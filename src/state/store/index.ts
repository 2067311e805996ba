export { type CurrentRecords, readCurrent } from './current-records.js';
