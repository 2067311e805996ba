export { LeaderLease } from './leader-lease.js';
