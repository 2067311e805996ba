export { DutyLease } from './duty-lease.js';
export { type Duty, type DutySignals, type DutyTask, LeaseDuties } from './lease-duties.js';
