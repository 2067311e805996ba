export { UsageAccounting } from './usage-accounting.js';
