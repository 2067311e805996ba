/** The randomized soak. */
export { breaches, type Evidence, usageErrors } from './checks.js';
export { FAULTS } from './faults.js';
export { type History, jobHistory, notePage } from './records.js';
export { runSoak, type Summary, soak } from './soak.js';
