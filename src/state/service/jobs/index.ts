export { belongsTo, JOB_TABLE, type JobHead, type JobRecord, type OwnerReference } from './job-record.js';
export { JobRepository, toJobHead } from './job-repository.js';
export { ResultCache } from './result-cache.js';
export type { SubmittedJob } from './submitted-job.js';
