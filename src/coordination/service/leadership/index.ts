export { DutyLease } from './duty-lease.js';
