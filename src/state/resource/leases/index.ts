export { type HeldLease, LeaseStore } from './lease-store.js';
