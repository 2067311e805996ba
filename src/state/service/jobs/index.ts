export { MAX_RESULT_TEXT_BYTES } from './job-contents.js';
export {
  belongsTo,
  isJobPartition,
  JOB_TABLE,
  type JobHead,
  type JobRecord,
  type OwnerReference,
  parseListedResult,
} from './job-record.js';
export { JobRepository } from './job-repository.js';
export { ResultCache, takePage } from './result-cache.js';
export type { SubmittedJob } from './submitted-job.js';
