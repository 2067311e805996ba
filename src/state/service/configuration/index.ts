export { RoutingSnapshot, RoutingTable } from './routing-table.js';
export { TargetSplitter } from './target-splitter.js';
export { fingerprintOf } from './tenant-directory.js';
