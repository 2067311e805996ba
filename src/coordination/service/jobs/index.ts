export { JobCalls } from './job-calls.js';
export { JobForwarding } from './job-forwarding.js';
export { JobGate } from './job-gate.js';
export { JobHeads } from './job-heads.js';
export { JobOwnership } from './job-ownership.js';
export type { SubmissionParser } from './job-run.js';
