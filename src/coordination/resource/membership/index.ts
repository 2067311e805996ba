export { MachineWatch } from './machine-watch.js';
export { NodeRegistry } from './node-registry.js';
export { reportRevision } from './revision-report.js';
