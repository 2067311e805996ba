export { readCurrent } from './current-records.js';
