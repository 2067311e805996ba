export { LoadScheduler } from './load-scheduler.js';
