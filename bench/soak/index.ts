/** The randomized soak. */
export { breaches, type Evidence, usageErrors } from './checks.js';
export { configurationBreaches, type ProbeEvidence } from './configuration-probes.js';
export type { WrittenConfiguration } from './configuration-series.js';
export { FAULTS } from './faults.js';
export { type FaultSpan, type History, jobHistory, notePage, type ProbeHistory } from './records.js';
export { runSoak, type SoakOptions, type Summary, soak } from './soak.js';
