export type { StoredCount, StoredReport, UsageSource } from './usage-record.js';
export { UsageRepository } from './usage-repository.js';
