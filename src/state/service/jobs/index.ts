export { belongsTo, JOB_TABLE, type JobHead, type JobOwner } from './job-record.js';
export { JobRepository, toJobHead } from './job-repository.js';
export { ResultCache } from './result-cache.js';
