export { LoadScheduler } from './load-commander.js';
