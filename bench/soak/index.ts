/** The randomized soak. */
export { breaches, type Evidence, usageErrors } from './checks.js';
export { configurationBreaches } from './configuration-probes.js';
export type { WrittenConfiguration } from './configuration-series.js';
export { type FaultSpan, type History, jobHistory, notePage, type ProbeHistory } from './records.js';
export { runSoak, soak } from './soak.js';
