export { RoutingSnapshot, RoutingTable, TargetSplitter } from './routing-table.js';
export { fingerprintOf } from './tenant-directory.js';
