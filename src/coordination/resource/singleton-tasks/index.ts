export { type Duty, type DutySignals, type DutyTask, LeaseDuties } from './lease-duties.js';
